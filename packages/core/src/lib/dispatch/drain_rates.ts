/** Measures how fast each customer's queue empties, for a true Retry-After. */
const SMOOTHING = 0.2;
const MIN_RETRY_MS = 1000;
const MAX_RETRY_MS = 60_000;
const UNKNOWN_RETRY_MS = 5000;

interface GrantPace {
  lastGrantMs: number;
  /** Mean time between two grants. */
  intervalMs: number | undefined;
}

/** The mean time between two grants of each customer. @public */
export class DrainRates {
  private readonly paces = new Map<string, GrantPace>();

  private constructor() {}

  static create(): DrainRates {
    return new DrainRates();
  }

  onGrant(customer: string, nowMs: number): void {
    const pace = this.paces.get(customer);
    if (pace === undefined) {
      this.paces.set(customer, {lastGrantMs: nowMs, intervalMs: undefined});
      return;
    }
    const gapMs = nowMs - pace.lastGrantMs;
    const mean = pace.intervalMs ?? gapMs;
    pace.intervalMs = mean + SMOOTHING * (gapMs - mean);
    pace.lastGrantMs = nowMs;
  }

  /** When a queue of the given length will have room again. */
  retryAfterMs(customer: string, queued: number): number {
    const intervalMs = this.paces.get(customer)?.intervalMs;
    if (intervalMs === undefined) return UNKNOWN_RETRY_MS;
    const waitMs = queued * intervalMs;
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs));
  }

  forgetAllBut(active: ReadonlySet<string>): void {
    for (const customer of this.paces.keys()) {
      if (!active.has(customer)) this.paces.delete(customer);
    }
  }
}
