/**
 * Remembers which requests were running when targets were lost. A request
 * that was present at two losses is quarantined.
 */

/** What is known of one fingerprint. @public */
export const CRASH_STATUS = {
  fresh: 'fresh',
  cleared: 'cleared',
  suspect: 'suspect',
  quarantined: 'quarantined',
} as const;

/** @public */
export type CrashStatus = (typeof CRASH_STATUS)[keyof typeof CRASH_STATUS];

/** One request that was present when a target was lost. @public */
export interface TargetLoss {
  readonly fingerprint: string;
  readonly target: string;
  /** When it was seen, by the wall clock of whoever saw it. */
  readonly seenAtMs: number;
}

interface RecordedLoss {
  readonly seenAtMs: number;
  /** The own monotonic clock. */
  readonly recordedAtMs: number;
}

interface LossHistory {
  losses: number;
  /** Target to its last loss. */
  readonly lastLosses: Map<string, RecordedLoss>;
}

const LOSSES_TO_QUARANTINE = 2;
const MAX_FINGERPRINTS = 20_000;
/** Reports of one target within this time speak of the same loss. */
const SAME_LOSS_WINDOW_MS = 10_000;

/** Counts target losses per request fingerprint. @public */
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

  /** Whether the fingerprint was at a recent loss of this very target. */
  hasRecentLossOn(fingerprint: string, target: string, nowMs: number): boolean {
    const known = this.histories.get(fingerprint)?.lastLosses.get(target);
    return (
      known !== undefined && nowMs - known.recordedAtMs < SAME_LOSS_WINDOW_MS
    );
  }

  /** Notes a loss; several reports of the same loss count once. */
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

  /** Notes that a request ran to its end; a quarantine is not lifted. */
  onCompleted(fingerprint: string): void {
    if (this.statusOf(fingerprint) === CRASH_STATUS.quarantined) return;
    this.histories.delete(fingerprint);
    this.cleared.add(fingerprint);
    if (this.cleared.size > MAX_FINGERPRINTS) evictOldest(this.cleared);
  }
}

function isSameLoss(known: RecordedLoss, seenAtMs: number): boolean {
  return Math.abs(seenAtMs - known.seenAtMs) < SAME_LOSS_WINDOW_MS;
}

function evictOldest(collection: Map<string, unknown> | Set<string>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
