import {evictOldest} from '@applebend/utils';
import {BlockEvidence} from './block_evidence.js';
import {BlockSurvivals} from './block_survivals.js';
import {
  createHistory,
  dropLossesUntil,
  HistoryTable,
  isSameLoss,
  lossWeight,
  SAME_LOSS_MS,
} from './loss_history.js';
import {QuarantineTable} from './quarantine_table.js';

import type {BlockCulprit} from './block_evidence.js';
import type {LossHistory} from './loss_history.js';
import type {QuarantineOptions} from './quarantine_table.js';
import type {Survival, Quarantine, TargetLoss} from './target_loss.js';

/**
 * Whether requests with one fingerprint are suspected of crashing targets.
 *
 * @public
 */
export const CRASH_STATUS = {
  /** No loss and no completed run is known. */
  fresh: 'fresh',
  /** A run completed, and no target was lost to it since. */
  cleared: 'cleared',
  /** Was running at a loss of a target, and has not completed since. */
  suspect: 'suspect',
  /** Was running at two or more losses of targets; must not run now. */
  quarantined: 'quarantined',
} as const;

/** @public */
export type CrashStatus = (typeof CRASH_STATUS)[keyof typeof CRASH_STATUS];

/** How long what is known is in force; by default for good. @public */
export interface CrashTrackerOptions extends QuarantineOptions {
  /** Milliseconds after which the losses of a suspect no longer count. */
  readonly suspicionMs: number;
}

const LOSSES_TO_QUARANTINE = 2;
/** Each loss beyond these makes the quarantine of a block longer. */
const LOSSES_OF_FIRST_BLOCK_QUARANTINE = 3;
/** Bounds the memory; the fingerprints cleared first are evicted first. */
const MAX_CLEARED = 20_000;
/** Age and number of losses and survivals that a peer that starts is told. */
const RECENT_MS = 120_000;
const MAX_RECENT = 200;
/** Least time between two searches for what no longer counts. */
const FORGET_INTERVAL_MS = 1000;

const PERMANENT: CrashTrackerOptions = {
  suspicionMs: Infinity,
  firstQuarantineMs: Infinity,
  maxQuarantineMs: Infinity,
};

/**
 * Counts, per request fingerprint, the losses of targets that were running the
 * request. Two losses put the fingerprint in quarantine; a loss after a part of
 * a stream counts half, since a harmless stream may be cut more than once. After
 * a quarantine it is a suspect again, and the next loss begins a longer one. The
 * owner sets when losses and quarantines are forgotten.
 *
 * Blocks of prompts are put in quarantine in the same way, by their keys, once
 * `BlockEvidence` finds one that is to blame for losses.
 *
 * @public
 */
export class CrashTracker {
  /** Fingerprints with fewer losses than a quarantine takes. */
  private readonly suspects = HistoryTable.create();
  private readonly quarantined: QuarantineTable;
  /** When each request last ran to its end, by monotonic milliseconds. */
  private readonly cleared = new Map<string, number>();
  private readonly survivals = BlockSurvivals.create();
  private readonly evidence: BlockEvidence;
  private forgotAtMs = -Infinity;

  private constructor(private readonly options: CrashTrackerOptions) {
    const {survivals} = this;
    this.quarantined = QuarantineTable.create(options);
    this.evidence = BlockEvidence.create(survivals, options.suspicionMs);
  }

  static create(options: CrashTrackerOptions = PERMANENT): CrashTracker {
    return new CrashTracker(options);
  }

  /** Whether no loss is known that still counts. */
  isEmpty(nowMs: number): boolean {
    this.forgetOld(nowMs);
    if (this.suspects.size + this.quarantined.size > 0) return false;
    return this.evidence.isEmpty;
  }

  statusOf(fingerprint: string, nowMs: number): CrashStatus {
    if (this.quarantineLeftMs(fingerprint, nowMs) > 0) {
      return CRASH_STATUS.quarantined;
    }
    if (this.historyOf(fingerprint) !== undefined) return CRASH_STATUS.suspect;
    return this.cleared.has(fingerprint)
      ? CRASH_STATUS.cleared
      : CRASH_STATUS.fresh;
  }

  /**
   * Milliseconds until a request, or a prompt with a block, may run; 0 if it is
   * not in quarantine.
   *
   * @param key - a fingerprint, or the key of a block
   */
  quarantineLeftMs(key: string, nowMs: number): number {
    return this.quarantined.leftMs(key, nowMs);
  }

  /** All quarantines in force. */
  quarantines(nowMs: number): Quarantine[] {
    return this.quarantined.all(nowMs);
  }

  /** Returns undefined if a fingerprint or a block is not in quarantine now. */
  quarantineOf(key: string, nowMs: number): Quarantine | undefined {
    return this.quarantined.of(key, nowMs);
  }

  /** The losses of the last minutes that led to no quarantine of the request. */
  suspectedLosses(nowMs: number): TargetLoss[] {
    const recent: TargetLoss[] = [];
    for (const [fingerprint, {lastLosses}] of this.suspects.entries()) {
      for (const [target, loss] of lastLosses) {
        const {seenAtMs, recordedAtMs, hasProgressed} = loss;
        if (nowMs - recordedAtMs > RECENT_MS) continue;
        const blocks = loss.blocks.filter(
          block => !this.survivals.clears(block, recordedAtMs)
        );
        recent.push({fingerprint, target, seenAtMs, hasProgressed, blocks});
      }
    }
    return recent.slice(-MAX_RECENT);
  }

  /** Whether this target was recently lost while it ran the fingerprint. */
  hasRecentLossOn(fingerprint: string, target: string, nowMs: number): boolean {
    const known = this.historyOf(fingerprint)?.lastLosses.get(target);
    return known !== undefined && nowMs - known.recordedAtMs < SAME_LOSS_MS;
  }

  /**
   * Records a loss. Several reports of the same loss count once. Returns whether
   * the report is news.
   *
   * @param ageMs - time since the loss
   */
  onLoss(loss: TargetLoss, nowMs: number, ageMs = 0): boolean {
    const {fingerprint, target, seenAtMs} = loss;
    const {hasProgressed = false, blocks = []} = loss;
    this.forgetOld(nowMs);
    // Peers repeat a loss, also after the request ran to its end.
    const lostAtMs = nowMs - clampAge(ageMs);
    if (this.hasCompletedSince(fingerprint, lostAtMs)) return false;
    const history = this.historyOf(fingerprint) ?? createHistory();
    const known = history.lastLosses.get(target);
    if (known !== undefined && isSameLoss(known, seenAtMs)) return false;
    history.losses += lossWeight(hasProgressed);
    history.lastLosses.set(target, {
      seenAtMs,
      recordedAtMs: nowMs,
      lostAtMs,
      hasProgressed,
      blocks,
    });
    history.forgottenAtMs = nowMs + this.options.suspicionMs;
    this.cleared.delete(fingerprint);
    this.evidence.add(loss, nowMs, clampAge(ageMs));
    if (history.losses < LOSSES_TO_QUARANTINE) {
      this.suspects.set(fingerprint, history);
      return true;
    }
    const earlier = history.losses - LOSSES_TO_QUARANTINE;
    this.suspects.delete(fingerprint);
    this.quarantined.start(fingerprint, history, earlier, nowMs);
    return true;
  }

  /**
   * Puts the blocks in quarantine that turned out to crash targets since the
   * last call; returns their quarantines.
   */
  quarantineBlocks(nowMs: number): Quarantine[] {
    const known = {
      isQuarantined: (block: string) => this.quarantineLeftMs(block, nowMs) > 0,
      quarantinedAtMs: (block: string) =>
        this.quarantined.get(block)?.quarantinedAtMs,
    };
    const found: Quarantine[] = [];
    for (;;) {
      const culprit = this.evidence.findCulprit(nowMs, known);
      if (culprit === undefined) return found;
      this.quarantineBlock(culprit, nowMs);
      const quarantine = this.quarantineOf(culprit.block, nowMs);
      if (quarantine !== undefined) found.push(quarantine);
    }
  }

  /** Whether a block has run so recently that no loss now is due to it. */
  hasJustRun(block: string, nowMs: number): boolean {
    return this.survivals.clears(block, nowMs);
  }

  /**
   * Records that a target wrote on a block of a prompt and lives on. Returns
   * whether that ended a quarantine.
   *
   * @param ageMs - time since then
   * @param isShared - whether the peers know of it
   */
  onBlockRan(
    block: string,
    nowMs: number,
    ageMs = 0,
    isShared = false
  ): boolean {
    const atMs = nowMs - clampAge(ageMs);
    this.survivals.add(block, atMs, isShared);
    const history = this.quarantined.get(block);
    if (history === undefined || history.quarantinedAtMs >= atMs) return false;
    return this.quarantined.delete(block);
  }

  /**
   * When those of some blocks last ran that peers suspect, as far as they do not
   * know it. They count as told afterwards.
   */
  takeSurvivalNews(blocks: readonly string[], nowMs: number): Survival[] {
    const news = blocks.filter(block => {
      const lostAtMs = this.evidence.lastLossAtMs(block);
      return lostAtMs !== undefined && this.survivals.takeNews(block, lostAtMs);
    });
    return this.survivalsOf(news, nowMs);
  }

  /** When the blocks that lost targets were running last ran. */
  suspectSurvivals(nowMs: number): Survival[] {
    const latest = this.evidence.blocks().slice(-MAX_RECENT);
    return this.survivalsOf(latest, nowMs);
  }

  /**
   * Records a quarantine that was imposed elsewhere, or before a restart.
   * Returns whether it is news.
   */
  onQuarantine(quarantine: Quarantine, nowMs: number): boolean {
    const {fingerprint, losses} = quarantine;
    const known = this.historyOf(fingerprint);
    const least = Math.max(losses, LOSSES_TO_QUARANTINE);
    this.suspects.delete(fingerprint);
    const imposed = {...quarantine, losses: least};
    return this.quarantined.onImposed(imposed, nowMs, known);
  }

  /**
   * Clears a fingerprint that ran to completion, unless quarantined. Returns
   * whether it was suspected.
   */
  onCompleted(fingerprint: string, nowMs: number): boolean {
    if (this.quarantineLeftMs(fingerprint, nowMs) > 0) return false;
    const wasSuspect = this.suspects.delete(fingerprint);
    this.quarantined.delete(fingerprint);
    this.clear(fingerprint, nowMs);
    return wasSuspect;
  }

  /**
   * Clears a request that ran to completion elsewhere of its former losses, of
   * which reports may come later. Returns whether that ended its quarantine.
   */
  onCompletedElsewhere(
    fingerprint: string,
    nowMs: number,
    ageMs: number
  ): boolean {
    const completedAtMs = nowMs - clampAge(ageMs);
    this.clear(fingerprint, completedAtMs);
    const history = this.historyOf(fingerprint);
    if (history === undefined) return false;
    dropLossesUntil(history, completedAtMs);
    if (history.losses >= LOSSES_TO_QUARANTINE) return false;
    this.suspects.delete(fingerprint);
    const isReleased = this.quarantineLeftMs(fingerprint, nowMs) > 0;
    if (isReleased) this.quarantined.delete(fingerprint);
    if (history.losses > 0) this.suspects.set(fingerprint, history);
    return isReleased;
  }

  /** Whether a request ran to its end after a moment, as far as known. */
  hasCompletedSince(fingerprint: string, atMs: number): boolean {
    return (this.cleared.get(fingerprint) ?? -Infinity) > atMs;
  }

  private clear(fingerprint: string, atMs: number): void {
    this.cleared.set(fingerprint, atMs);
    if (this.cleared.size > MAX_CLEARED) evictOldest(this.cleared);
  }

  private historyOf(fingerprint: string): LossHistory | undefined {
    return this.suspects.get(fingerprint) ?? this.quarantined.get(fingerprint);
  }

  private quarantineBlock({block, losses}: BlockCulprit, nowMs: number): void {
    const history = this.quarantined.get(block) ?? createHistory();
    history.losses += losses;
    const earlier = history.losses - LOSSES_OF_FIRST_BLOCK_QUARANTINE;
    this.quarantined.start(block, history, earlier, nowMs);
  }

  private survivalsOf(blocks: readonly string[], nowMs: number): Survival[] {
    const survivals: Survival[] = [];
    for (const block of blocks) {
      const ageMs = nowMs - this.survivals.lastAtMs(block);
      if (ageMs <= RECENT_MS) survivals.push({key: block, ageMs});
    }
    return survivals;
  }

  private forgetOld(nowMs: number): void {
    if (nowMs - this.forgotAtMs < FORGET_INTERVAL_MS) return;
    this.forgotAtMs = nowMs;
    this.evidence.forgetOld(nowMs);
    this.suspects.forgetOld(nowMs);
    this.quarantined.forgetOld(nowMs);
  }
}

/** What is older than a few minutes is not told among instances. */
function clampAge(ageMs: number): number {
  return Math.min(RECENT_MS, Math.max(0, ageMs));
}
