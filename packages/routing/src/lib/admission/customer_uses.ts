/** What each customer asked for and was given in a sliding window of time. */
import {WindowSum} from './window_sum.js';

/** Asked and given service, in weighted tokens or in requests. @public */
export interface CustomerUse {
  readonly requested: number;
  readonly admitted: number;
}

interface UseSums {
  readonly asked: WindowSum;
  readonly given: WindowSum;
}

const NO_USE: CustomerUse = {requested: 0, admitted: 0};

/** @public */
export class CustomerUses {
  private readonly sums = new Map<string, UseSums>();

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): CustomerUses {
    return new CustomerUses(windowMs);
  }

  add(customer: string, use: CustomerUse, nowMs: number): void {
    const {asked, given} = this.sumsOf(customer);
    asked.add(use.requested, nowMs);
    given.add(use.admitted, nowMs);
  }

  of(customer: string, nowMs: number): CustomerUse {
    const sums = this.sums.get(customer);
    return sums === undefined ? NO_USE : totalOf(sums, nowMs);
  }

  /** The uses of all customers. */
  all(nowMs: number): CustomerUse[] {
    return [...this.sums.values()].map(sums => totalOf(sums, nowMs));
  }

  private sumsOf(customer: string): UseSums {
    let sums = this.sums.get(customer);
    if (sums === undefined) {
      const {windowMs} = this;
      sums = {
        asked: WindowSum.create(windowMs),
        given: WindowSum.create(windowMs),
      };
      this.sums.set(customer, sums);
    }
    return sums;
  }
}

function totalOf({asked, given}: UseSums, nowMs: number): CustomerUse {
  return {requested: asked.total(nowMs), admitted: given.total(nowMs)};
}
