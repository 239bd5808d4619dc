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
  /** Was running at one loss of a target, and has not completed since. */
  suspect: 'suspect',
  /** Was running at two or more losses of targets; must not run again. */
  quarantined: 'quarantined',
} as const;

/** @public */
export type CrashStatus = (typeof CRASH_STATUS)[keyof typeof CRASH_STATUS];

/** A request that was running on a target when the target was lost. @public */
export interface TargetLoss {
  readonly fingerprint: string;
  readonly target: string;
  /** When the loss was observed, by the wall clock of the observer. */
  readonly seenAtMs: number;
}

interface RecordedLoss {
  /** When the loss was observed, by the wall clock of the observer. */
  readonly seenAtMs: number;
  /** When the report arrived, by this instance's monotonic clock. */
  readonly recordedAtMs: number;
}

interface LossHistory {
  /** Number of different losses. */
  losses: number;
  /** The latest loss of each target. */
  readonly lastLosses: Map<string, RecordedLoss>;
}

const LOSSES_TO_QUARANTINE = 2;
/** Bounds the memory; the fingerprints recorded first are evicted first. */
const MAX_FINGERPRINTS = 20_000;
/** Reports about one target within this time are about the same loss. */
const SAME_LOSS_MS = 10_000;

/**
 * Counts, per request fingerprint, the losses of targets that were running the
 * request. Two losses put the fingerprint in quarantine.
 *
 * @public
 */
export class CrashTracker {
  private readonly histories = new Map<string, LossHistory>();
  private readonly cleared = new Set<string>();

  private constructor() {}

  static create(): CrashTracker {
    return new CrashTracker();
  }

  statusOf(fingerprint: string): CrashStatus {
    const losses = this.histories.get(fingerprint)?.losses ?? 0;
    if (losses >= LOSSES_TO_QUARANTINE) return CRASH_STATUS.quarantined;
    if (losses > 0) return CRASH_STATUS.suspect;
    return this.cleared.has(fingerprint)
      ? CRASH_STATUS.cleared
      : CRASH_STATUS.fresh;
  }

  /** Whether this target was recently lost while it ran the fingerprint. */
  hasRecentLossOn(fingerprint: string, target: string, nowMs: number): boolean {
    const known = this.histories.get(fingerprint)?.lastLosses.get(target);
    return known !== undefined && nowMs - known.recordedAtMs < SAME_LOSS_MS;
  }

  /** Records a loss. Several reports of the same loss count once. */
  onLoss({fingerprint, target, seenAtMs}: TargetLoss, nowMs: number): void {
    const history = this.histories.get(fingerprint) ?? {
      losses: 0,
      lastLosses: new Map<string, RecordedLoss>(),
    };
    const known = history.lastLosses.get(target);
    if (known !== undefined && isSameLoss(known, seenAtMs)) return;
    history.losses += 1;
    history.lastLosses.set(target, {seenAtMs, recordedAtMs: nowMs});
    this.cleared.delete(fingerprint);
    this.histories.set(fingerprint, history);
    if (this.histories.size > MAX_FINGERPRINTS) evictOldest(this.histories);
  }

  /** Clears a fingerprint that ran to completion, unless quarantined. */
  onCompleted(fingerprint: string): void {
    if (this.statusOf(fingerprint) === CRASH_STATUS.quarantined) return;
    this.histories.delete(fingerprint);
    this.cleared.add(fingerprint);
    if (this.cleared.size > MAX_FINGERPRINTS) evictOldest(this.cleared);
  }
}

function isSameLoss(known: RecordedLoss, seenAtMs: number): boolean {
  return Math.abs(seenAtMs - known.seenAtMs) < SAME_LOSS_MS;
}

function evictOldest(collection: Map<string, unknown> | Set<string>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
