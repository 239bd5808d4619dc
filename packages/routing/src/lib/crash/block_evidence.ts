import {evictOldest} from '@applebend/utils';

import type {BlockSurvivals} from './block_survivals.js';
import type {TargetLoss} from './target_loss.js';

/** What is already known of blocks, by key. @public */
export interface KnownBlocks {
  isQuarantined(block: string): boolean;
  /** When its latest quarantine began; undefined if there was none. */
  quarantinedAtMs(block: string): number | undefined;
}

/** A block that probably crashes targets. @public */
export interface BlockCulprit {
  readonly block: string;
  /** Number of times at which targets were lost under it. */
  readonly losses: number;
}

/** The requests of a lost target that had one block. */
interface Suspicion {
  readonly requests: Set<string>;
  /** Position in the prompt. */
  readonly depth: number;
}

/** A lost target and what may have crashed it. */
interface LostTarget {
  /** Monotonic milliseconds. */
  readonly lostAtMs: number;
  readonly suspicions: Map<string, Suspicion>;
}

/** All that speaks against one block. */
interface Case {
  readonly block: string;
  readonly requests: Set<string>;
  /** When targets were lost, in order; those that were lost together count once. */
  readonly lostAtMs: number[];
  depth: number;
}

const LOSSES_TO_QUARANTINE = 3;
/** Targets that are lost together have a cause in common that is no request. */
const TOGETHER_MS = 50;
/** One request alone is quarantined by its own fingerprint. */
const REQUESTS_TO_QUARANTINE = 2;
/** Time for the peers to say which blocks have run. */
const SETTLE_MS = 250;
/** Bounds the memory. */
const MAX_TARGETS = 500;
const MAX_BLOCKS = 20_000;

/**
 * Finds the block of prompts that crashes targets. Each lost target raises
 * suspicion against all blocks that it was running; a block that has run since
 * is cleared, and a loss counts against no block if one in quarantine explains
 * it. What is left is the block that the lost targets have in common. Targets
 * that are lost at the same moment count once: many fail together for other
 * reasons.
 *
 * @public
 */
export class BlockEvidence {
  private readonly targets = new Map<string, LostTarget>();
  /** When a target was last lost that was running a block, by block. */
  private readonly lastLosses = new Map<string, number>();
  /** When losses have to be looked at; Infinity if none is new. */
  private dueAtMs = Infinity;

  private constructor(
    private readonly survivals: BlockSurvivals,
    private readonly suspicionMs: number
  ) {}

  /** @param suspicionMs - time after which a loss no longer counts */
  static create(survivals: BlockSurvivals, suspicionMs: number): BlockEvidence {
    return new BlockEvidence(survivals, suspicionMs);
  }

  get isEmpty(): boolean {
    return this.targets.size === 0;
  }

  /** @param ageMs - time since the loss */
  add(loss: TargetLoss, nowMs: number, ageMs: number): void {
    const {target, fingerprint, blocks = []} = loss;
    if (blocks.length === 0) return;
    const lost = this.targets.get(target) ?? {
      lostAtMs: nowMs - ageMs,
      suspicions: new Map<string, Suspicion>(),
    };
    for (const [depth, block] of blocks.entries()) {
      const known = lost.suspicions.get(block);
      if (known !== undefined) known.requests.add(fingerprint);
      else
        lost.suspicions.set(block, {requests: new Set([fingerprint]), depth});
      const lastMs = this.lastLosses.get(block) ?? -Infinity;
      this.lastLosses.set(block, Math.max(lastMs, lost.lostAtMs));
      if (this.lastLosses.size > MAX_BLOCKS) evictOldest(this.lastLosses);
    }
    this.targets.set(target, lost);
    if (this.targets.size > MAX_TARGETS) evictOldest(this.targets);
    this.dueAtMs = Math.min(this.dueAtMs, nowMs + SETTLE_MS);
  }

  /** The blocks that lost targets were running, whether cleared or not. */
  blocks(): string[] {
    return [...this.lastLosses.keys()];
  }

  /** When a target was last lost that was running a block, if ever. */
  lastLossAtMs(block: string): number | undefined {
    return this.lastLosses.get(block);
  }

  forgetOld(nowMs: number): void {
    for (const [target, {lostAtMs}] of this.targets) {
      if (nowMs - lostAtMs >= this.suspicionMs) this.targets.delete(target);
    }
    for (const [block, lostAtMs] of this.lastLosses) {
      if (nowMs - lostAtMs >= this.suspicionMs) this.lastLosses.delete(block);
    }
  }

  /**
   * The block that most probably crashes targets, or undefined if there is none.
   * Call it again once that one is in quarantine: there may be a second.
   */
  findCulprit(nowMs: number, known: KnownBlocks): BlockCulprit | undefined {
    if (nowMs < this.dueAtMs) return undefined;
    this.dueAtMs = Infinity;
    let worst: Case | undefined;
    for (const candidate of this.cases(known)) {
      const settledAtMs = settleTimeMs(candidate, known);
      if (settledAtMs > nowMs) {
        this.dueAtMs = Math.min(this.dueAtMs, settledAtMs);
        continue;
      }
      if (worst === undefined || this.isWorse(candidate, worst)) {
        worst = candidate;
      }
    }
    if (worst === undefined) return undefined;
    this.dueAtMs = nowMs;
    return {block: worst.block, losses: worst.lostAtMs.length};
  }

  /** What speaks against each block that is not in quarantine. */
  private cases(known: KnownBlocks): Iterable<Case> {
    const cases = new Map<string, Case>();
    const targets = [...this.targets.values()];
    targets.sort((a, b) => a.lostAtMs - b.lostAtMs);
    for (const {lostAtMs, suspicions} of targets) {
      const blocks = [...suspicions.keys()];
      if (blocks.some(block => known.isQuarantined(block))) continue;
      for (const [block, {requests, depth}] of suspicions) {
        if (this.survivals.clears(block, lostAtMs)) continue;
        const quarantinedAtMs = known.quarantinedAtMs(block) ?? -Infinity;
        if (lostAtMs <= quarantinedAtMs) continue;
        const found = cases.get(block) ?? createCase(block);
        for (const fingerprint of requests) found.requests.add(fingerprint);
        const previousMs = found.lostAtMs.at(-1) ?? -Infinity;
        if (lostAtMs - previousMs > TOGETHER_MS) found.lostAtMs.push(lostAtMs);
        found.depth = Math.max(found.depth, depth);
        cases.set(block, found);
      }
    }
    return cases.values();
  }

  /**
   * Of two blocks, the one with more losses is worse; then the one that ran
   * longer ago, if ever; then the one that fewer prompts can have, as it is
   * further from their beginning.
   */
  private isWorse(a: Case, b: Case): boolean {
    const moreLosses = a.lostAtMs.length - b.lostAtMs.length;
    if (moreLosses !== 0) return moreLosses > 0;
    const [ranA, ranB] = [a, b].map(({block}) =>
      this.survivals.lastAtMs(block)
    );
    if (ranA !== ranB) return ranA < ranB;
    return a.depth > b.depth;
  }
}

function createCase(block: string): Case {
  return {block, requests: new Set(), lostAtMs: [], depth: 0};
}

/** When a case may be decided; Infinity if there is too little evidence. */
function settleTimeMs(
  {block, requests, lostAtMs}: Case,
  known: KnownBlocks
): number {
  const isRepeated = known.quarantinedAtMs(block) !== undefined;
  if (!isRepeated && requests.size < REQUESTS_TO_QUARANTINE) return Infinity;
  const needed = isRepeated ? 1 : LOSSES_TO_QUARANTINE;
  return (lostAtMs[needed - 1] ?? Infinity) + SETTLE_MS;
}
