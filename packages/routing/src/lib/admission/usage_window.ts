import {evictOldest} from '@applebend/utils';
import {SlidingWindowSum} from './sliding_window_sum.js';

/**
 * The amounts that a customer requested and that were admitted, in weighted
 * tokens or in requests.
 *
 * @public
 */
export interface CustomerUsage {
  readonly requested: number;
  readonly admitted: number;
}

interface UsageSums {
  readonly requested: SlidingWindowSum;
  readonly admitted: SlidingWindowSum;
}

const NO_USAGE: CustomerUsage = {requested: 0, admitted: 0};

/**
 * Names come from peers, too, so the customers that are remembered are bounded;
 * those used longest ago go first.
 *
 * @internal
 */
export const MAX_CUSTOMERS = 8192;

/** The usage of each customer in a sliding window. @internal */
export class UsageWindow {
  private readonly sums = new Map<string, UsageSums>();

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): UsageWindow {
    return new UsageWindow(windowMs);
  }

  /** Adds to a customer's usage at the given time. */
  add(customer: string, usage: CustomerUsage, nowMs: number): void {
    const {requested, admitted} = this.sumsOf(customer);
    requested.add(usage.requested, nowMs);
    admitted.add(usage.admitted, nowMs);
  }

  /** Returns a customer's usage in the window that ends now. */
  of(customer: string, nowMs: number): CustomerUsage {
    const sums = this.sums.get(customer);
    return sums === undefined ? NO_USAGE : totalOf(sums, nowMs);
  }

  /**
   * Returns the usage of all customers with any, in no particular order; forgets
   * the others.
   */
  all(nowMs: number): CustomerUsage[] {
    const usages: CustomerUsage[] = [];
    for (const [customer, sums] of this.sums) {
      const usage = totalOf(sums, nowMs);
      if (usage.requested > 0 || usage.admitted > 0) usages.push(usage);
      else this.sums.delete(customer);
    }
    return usages;
  }

  /** The number of customers that are remembered. */
  get size(): number {
    return this.sums.size;
  }

  private sumsOf(customer: string): UsageSums {
    const {windowMs} = this;
    const sums = this.sums.get(customer) ?? {
      requested: SlidingWindowSum.create(windowMs),
      admitted: SlidingWindowSum.create(windowMs),
    };
    this.sums.delete(customer);
    this.sums.set(customer, sums);
    if (this.sums.size > MAX_CUSTOMERS) evictOldest(this.sums);
    return sums;
  }
}

function totalOf(
  {requested, admitted}: UsageSums,
  nowMs: number
): CustomerUsage {
  return {requested: requested.total(nowMs), admitted: admitted.total(nowMs)};
}
