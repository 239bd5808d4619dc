/**
 * Whom an overloaded instance serves: a part of the requests that reach it,
 * divided max-min among their customers. Answers the load of one customer
 * whose callers all reach the same instance, beside few of others.
 */
import {UsageWindow} from './usage_window.js';
import {maxMinLevel} from './max_min_level.js';

const WINDOW_MS = 1000;
const MAX_LEVEL_AGE_MS = 50;

/** @public */
export class ArrivalShares {
  /** Requests that arrived, and those of them that were taken. */
  private readonly usage = UsageWindow.create(WINDOW_MS);
  private cachedLevel = Infinity;
  private cachedAtMs = -Infinity;

  private constructor() {}

  static create(): ArrivalShares {
    return new ArrivalShares();
  }

  /** Counts a request that arrives. */
  onArrival(customer: string, nowMs: number): void {
    this.usage.add(customer, {requested: 1, admitted: 0}, nowMs);
  }

  /** Counts one of them that is taken. */
  onAdmitted(customer: string, nowMs: number): void {
    this.usage.add(customer, {requested: 0, admitted: 1}, nowMs);
  }

  /**
   * Whether a customer's next request is within its part.
   *
   * @param servedFraction - part of all requests that is served, 0 to 1
   */
  isWithinShare(customer: string, servedFraction: number, nowMs: number): boolean {
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
