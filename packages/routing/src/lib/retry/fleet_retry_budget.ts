/**
 * Bounds the retries of the whole fleet without talking to it: each instance
 * takes its own part of the fixed allowance, and a part of its own load.
 */
import {SlidingWindowSum} from '../admission/sliding_window_sum.js';

/** @public */
export interface RetryBudgetOptions {
  readonly windowMs: number;
  /** Retries a request that the fleet allows. */
  readonly ratio: number;
  /** Retries in a window that the fleet allows at any load. */
  readonly minRetries: number;
}

/** Keeps clear of the bound, since windows of instances do not line up. */
const SAFETY_FACTOR = 0.6;

/** The budget of one service at one instance. @public */
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

  onRequest(nowMs: number): void {
    this.requests.add(1, nowMs);
  }

  /** Takes one retry; false when this instance has used its part. */
  tryAcquire(instances: number, nowMs: number): boolean {
    const {ratio, minRetries} = this.options;
    const fixedRetries = minRetries / Math.max(1, instances);
    const allowed = SAFETY_FACTOR * (ratio * this.requests.total(nowMs) + fixedRetries);
    if (this.retries.total(nowMs) + 1 > allowed) return false;
    this.retries.add(1, nowMs);
    return true;
  }
}
