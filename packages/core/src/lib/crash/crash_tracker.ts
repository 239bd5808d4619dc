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

interface KnownLoss {
  readonly seenAtMs: number;
  /** The own monotonic clock. */
  readonly heardAtMs: number;
}

interface Suspicion {
  losses: number;
  /** Target to its last loss. */
  readonly lastLosses: Map<string, KnownLoss>;
}

const LOSSES_TO_QUARANTINE = 2;
const MAX_REMEMBERED = 20_000;
/** Reports of one target within this time speak of the same loss. */
const SAME_LOSS_MS = 10_000;

/** Counts target losses per request fingerprint. @public */
export class CrashTracker {
  private readonly suspicions = new Map<string, Suspicion>();
  private readonly cleared = new Set<string>();

  private constructor() {}

  static create(): CrashTracker {
    return new CrashTracker();
  }

  statusOf(fingerprint: string): CrashStatus {
    const losses = this.suspicions.get(fingerprint)?.losses ?? 0;
    if (losses >= LOSSES_TO_QUARANTINE) return CRASH_STATUS.quarantined;
    if (losses > 0) return CRASH_STATUS.suspect;
    return this.cleared.has(fingerprint)
      ? CRASH_STATUS.cleared
      : CRASH_STATUS.fresh;
  }

  /** Whether the fingerprint was at a recent loss of this very target. */
  hasRecentLossOn(fingerprint: string, target: string, nowMs: number): boolean {
    const known = this.suspicions.get(fingerprint)?.lastLosses.get(target);
    return known !== undefined && nowMs - known.heardAtMs < SAME_LOSS_MS;
  }

  /** Notes a loss; several reports of the same loss count once. */
  onLoss({fingerprint, target, seenAtMs}: TargetLoss, nowMs: number): void {
    const suspicion = this.suspicions.get(fingerprint) ?? {
      losses: 0,
      lastLosses: new Map<string, KnownLoss>(),
    };
    const known = suspicion.lastLosses.get(target);
    if (known !== undefined && isSameLoss(known, seenAtMs)) return;
    suspicion.losses += 1;
    suspicion.lastLosses.set(target, {seenAtMs, heardAtMs: nowMs});
    this.cleared.delete(fingerprint);
    this.suspicions.set(fingerprint, suspicion);
    if (this.suspicions.size > MAX_REMEMBERED) dropOldest(this.suspicions);
  }

  /** Notes that a request ran to its end; a quarantine is not lifted. */
  onCompleted(fingerprint: string): void {
    if (this.statusOf(fingerprint) === CRASH_STATUS.quarantined) return;
    this.suspicions.delete(fingerprint);
    this.cleared.add(fingerprint);
    if (this.cleared.size > MAX_REMEMBERED) dropOldest(this.cleared);
  }
}

function isSameLoss(known: KnownLoss, seenAtMs: number): boolean {
  return Math.abs(seenAtMs - known.seenAtMs) < SAME_LOSS_MS;
}

function dropOldest(collection: Map<string, unknown> | Set<string>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
