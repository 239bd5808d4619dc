import {evictOldest} from '@applebend/utils';

/** One loss of a target under a request. @internal */
export interface RecordedLoss {
  /** When the loss was observed, by the wall clock of the observer. */
  readonly seenAtMs: number;
  /** When the report arrived, by this instance's monotonic clock. */
  readonly recordedAtMs: number;
  /** When the target was lost, by the same clock. */
  readonly lostAtMs: number;
  readonly hasProgressed: boolean;
  /** Keys of the blocks of the prompt that may have caused it. */
  readonly blocks: readonly string[];
}

/** The losses under one request, or one block of prompts. @internal */
export interface LossHistory {
  /** Number of different losses; some count half. */
  losses: number;
  /** The latest loss of each target. */
  readonly lastLosses: Map<string, RecordedLoss>;
  /** When it was last put in quarantine, by this instance's monotonic clock. */
  quarantinedAtMs: number;
  /** By the same clock. */
  quarantinedUntilMs: number;
  /** When it no longer counts, by the same clock. */
  forgottenAtMs: number;
}

/** Reports about one target within this time are about the same loss. */
export const SAME_LOSS_MS = 10_000;
/** A request that crashes targets rarely gets that far. */
const LOSS_AFTER_PROGRESS = 0.5;
/** Bounds the memory; the histories recorded first are evicted first. */
const MAX_HISTORIES = 20_000;

/** @internal */
export function createHistory(): LossHistory {
  return {
    losses: 0,
    lastLosses: new Map(),
    quarantinedAtMs: -Infinity,
    quarantinedUntilMs: -Infinity,
    forgottenAtMs: -Infinity,
  };
}

/** What a loss counts. A harmless stream may be cut more than once. @internal */
export function lossWeight(hasProgressed: boolean): number {
  return hasProgressed ? LOSS_AFTER_PROGRESS : 1;
}

/** Drops the losses that happened up to a moment. @internal */
export function dropLossesUntil(history: LossHistory, atMs: number): void {
  for (const [target, {lostAtMs, hasProgressed}] of history.lastLosses) {
    if (lostAtMs > atMs) continue;
    history.lastLosses.delete(target);
    history.losses -= lossWeight(hasProgressed);
  }
}

/** @internal */
export function isSameLoss(known: RecordedLoss, seenAtMs: number): boolean {
  return Math.abs(seenAtMs - known.seenAtMs) < SAME_LOSS_MS;
}

/** Histories by fingerprint or by key of a block, in limited number. @internal */
export class HistoryTable {
  private readonly histories = new Map<string, LossHistory>();

  private constructor() {}

  static create(): HistoryTable {
    return new HistoryTable();
  }

  get size(): number {
    return this.histories.size;
  }

  get(key: string): LossHistory | undefined {
    return this.histories.get(key);
  }

  entries(): Iterable<[string, LossHistory]> {
    return this.histories;
  }

  set(key: string, history: LossHistory): void {
    this.histories.set(key, history);
    if (this.histories.size > MAX_HISTORIES) evictOldest(this.histories);
  }

  /** Returns whether there was one. */
  delete(key: string): boolean {
    return this.histories.delete(key);
  }

  forgetOld(nowMs: number): void {
    for (const [key, {forgottenAtMs}] of this.histories) {
      if (nowMs >= forgottenAtMs) this.histories.delete(key);
    }
  }
}
