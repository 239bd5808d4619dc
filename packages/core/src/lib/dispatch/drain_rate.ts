/** Measures how fast a customer's queue empties, for a true Retry-After. */
const SMOOTHING = 0.2;
const MIN_RETRY_MS = 1000;
const MAX_RETRY_MS = 60_000;
const UNKNOWN_RETRY_MS = 5000;

/** The mean time between two grants of one customer. @public */
export class DrainRate {
  private lastGrantMs: number | undefined;
  private intervalMs: number | undefined;

  private constructor() {}

  static create(): DrainRate {
    return new DrainRate();
  }

  onGrant(nowMs: number): void {
    if (this.lastGrantMs !== undefined) {
      const gapMs = nowMs - this.lastGrantMs;
      const mean = this.intervalMs ?? gapMs;
      this.intervalMs = mean + SMOOTHING * (gapMs - mean);
    }
    this.lastGrantMs = nowMs;
  }

  /** When a queue of the given length will have room again. */
  retryAfterMs(queued: number): number {
    if (this.intervalMs === undefined) return UNKNOWN_RETRY_MS;
    const waitMs = queued * this.intervalMs;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
  }
}
