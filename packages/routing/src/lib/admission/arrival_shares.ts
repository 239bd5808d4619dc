import {maxMinLevel} from './max_min_level.js';
import {UsageWindow} from './usage_window.js';

/** Length of the sliding window in which requests are counted. */
const WINDOW_MS = 1000;
/** The level is computed again if it is older than this. */
const MAX_LEVEL_AGE_MS = 50;

/**
 * Divides the fraction of requests that an overloaded instance serves among
 * their customers by max-min fairness. One customer whose callers all reach
 * the same instance therefore does not crowd out customers with few requests.
 *
 * @internal
 */
export class ArrivalShares {
  /** Counts requests, not tokens. */
  private readonly usage = UsageWindow.create(WINDOW_MS);
  private cachedLevel = Infinity;
  private cachedAtMs = -Infinity;

  private constructor() {}

  static create(): ArrivalShares {
    return new ArrivalShares();
  }

  /** Counts a request that has arrived. */
  onArrival(customer: string, nowMs: number): void {
    this.usage.add(customer, {requested: 1, admitted: 0}, nowMs);
  }

  /** Counts an arrived request that is admitted. */
  onAdmitted(customer: string, nowMs: number): void {
    this.usage.add(customer, {requested: 0, admitted: 1}, nowMs);
  }

  /**
   * Returns whether the customer's next request is within its share.
   *
   * @param servedFraction - fraction of all requests that is served, 0 to 1
   */
  isWithinShare(
    customer: string,
    servedFraction: number,
    nowMs: number
  ): boolean {
    const admitted = this.usage.of(customer, nowMs).admitted;
    return admitted < this.level(servedFraction, nowMs);
  }

  private level(servedFraction: number, nowMs: number): number {
    if (nowMs - this.cachedAtMs < MAX_LEVEL_AGE_MS) return this.cachedLevel;
    const arrived = this.usage.all(nowMs).map(({requested}) => requested);
    const total = arrived.reduce((sum, count) => sum + count, 0);
    this.cachedLevel = maxMinLevel(arrived, servedFraction * total);
    this.cachedAtMs = nowMs;
    return this.cachedLevel;
  }
}
