import {SlidingWindowSum} from '../admission/sliding_window_sum.js';

/** The retry budget of a service over the whole fleet. @public */
export interface RetryBudgetOptions {
  /** Length of the sliding window in which requests and retries are counted. */
  readonly windowMs: number;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in a window in addition, at any load. */
  readonly minRetries: number;
}

/**
 * Leaves a margin below the bound, since instances' windows are not aligned.
 */
const SAFETY_FACTOR = 0.6;

/**
 * Limits the retries of one service at one instance, so that the whole fleet
 * stays within its budget without communication. Each instance gets an equal
 * fraction of `minRetries`, and `ratio` of its own requests.
 *
 * @public
 */
export class FleetRetryBudget {
  private readonly requests: SlidingWindowSum;
  private readonly retries: SlidingWindowSum;

  private constructor(private readonly options: RetryBudgetOptions) {
    this.requests = SlidingWindowSum.create(options.windowMs);
    this.retries = SlidingWindowSum.create(options.windowMs);
  }

  static create(options: RetryBudgetOptions): FleetRetryBudget {
    return new FleetRetryBudget(options);
  }

  /** Counts a request, not its retries. */
  onRequest(nowMs: number): void {
    this.requests.add(1, nowMs);
  }

  /**
   * Counts a retry if the budget allows one, and returns whether it does.
   *
   * @param instances - number of live instances in the fleet
   */
  tryAcquire(instances: number, nowMs: number): boolean {
    const {ratio, minRetries} = this.options;
    const fixedRetries = minRetries / Math.max(1, instances);
    const allowed =
      SAFETY_FACTOR * (ratio * this.requests.total(nowMs) + fixedRetries);
    if (this.retries.total(nowMs) + 1 > allowed) return false;
    this.retries.add(1, nowMs);
    return true;
  }
}
