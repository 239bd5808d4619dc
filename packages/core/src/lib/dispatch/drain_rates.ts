/** Weight of the latest interval in the moving average. */
const SMOOTHING_FACTOR = 0.2;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 60_000;
const DEFAULT_RETRY_AFTER_MS = 5000;

interface GrantInterval {
  lastGrantAtMs: number;
  /** Smoothed time between grants, or undefined until the second grant. */
  meanIntervalMs: number | undefined;
}

/**
 * Estimates how fast each customer's queue drains, from the time between its
 * grants, so that the Retry-After of a refused request follows the real rate.
 *
 * @public
 */
export class DrainRates {
  private readonly intervals = new Map<string, GrantInterval>();

  private constructor() {}

  static create(): DrainRates {
    return new DrainRates();
  }

  onGrant(customer: string, nowMs: number): void {
    const interval = this.intervals.get(customer);
    if (interval === undefined) {
      this.intervals.set(customer, {
        lastGrantAtMs: nowMs,
        meanIntervalMs: undefined,
      });
      return;
    }
    const elapsedMs = nowMs - interval.lastGrantAtMs;
    const mean = interval.meanIntervalMs ?? elapsedMs;
    interval.meanIntervalMs = mean + SMOOTHING_FACTOR * (elapsedMs - mean);
    interval.lastGrantAtMs = nowMs;
  }

  /**
   * Estimated time until a customer's queue of the given length has drained,
   * between 1 and 60 s; 5 s while the customer's grant rate is unknown.
   */
  retryAfterMs(customer: string, queued: number): number {
    const intervalMs = this.intervals.get(customer)?.meanIntervalMs;
    if (intervalMs === undefined) return DEFAULT_RETRY_AFTER_MS;
    const waitMs = queued * intervalMs;
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  }

  /** Evicts all customers that are not in `active`. */
  evictInactive(active: ReadonlySet<string>): void {
    for (const customer of this.intervals.keys()) {
      if (!active.has(customer)) this.intervals.delete(customer);
    }
  }
}
