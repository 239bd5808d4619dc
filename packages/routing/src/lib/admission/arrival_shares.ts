/**
 * Whom an overloaded instance serves: a part of the requests that reach it,
 * divided max-min among their customers. Answers the load of one customer
 * whose callers all reach the same instance, beside few of others.
 */
import {maxMinLevel} from './customer_shares.js';
import {WindowSum} from './window_sum.js';

const WINDOW_MS = 1000;
const LEVEL_AGE_MS = 50;

interface Arrivals {
  readonly all: WindowSum;
  readonly taken: WindowSum;
}

/** @public */
export class ArrivalShares {
  private readonly customers = new Map<string, Arrivals>();
  private cachedLevel = Infinity;
  private levelAtMs = -Infinity;

  private constructor() {}

  static create(): ArrivalShares {
    return new ArrivalShares();
  }

  /** Counts a request that arrives. */
  onArrival(customer: string, nowMs: number): void {
    this.arrivalsOf(customer).all.add(1, nowMs);
  }

  /** Counts one of them that is served. */
  onTaken(customer: string, nowMs: number): void {
    this.arrivalsOf(customer).taken.add(1, nowMs);
  }

  /**
   * Whether a customer's next request is within its part.
   *
   * @param servedPart - part of all requests that is served, 0 to 1
   */
  hasShare(customer: string, servedPart: number, nowMs: number): boolean {
    const taken = this.arrivalsOf(customer).taken.total(nowMs);
    return taken < this.level(servedPart, nowMs);
  }

  private level(servedPart: number, nowMs: number): number {
    if (nowMs - this.levelAtMs < LEVEL_AGE_MS) return this.cachedLevel;
    const counts = [...this.customers.values()].map(({all}) =>
      all.total(nowMs)
    );
    const total = counts.reduce((sum, count) => sum + count, 0);
    this.cachedLevel = maxMinLevel(counts, servedPart * total);
    this.levelAtMs = nowMs;
    return this.cachedLevel;
  }

  private arrivalsOf(customer: string): Arrivals {
    let arrivals = this.customers.get(customer);
    if (arrivals === undefined) {
      arrivals = {
        all: WindowSum.create(WINDOW_MS),
        taken: WindowSum.create(WINDOW_MS),
      };
      this.customers.set(customer, arrivals);
    }
    return arrivals;
  }
}
