/**
 * Whom an overloaded instance serves: a part of the requests that reach it,
 * divided max-min among their customers. Answers the load of one customer
 * whose callers all reach the same instance, beside few of others.
 */
import {CustomerUses} from './customer_uses.js';
import {maxMinLevel} from './max_min_level.js';

const WINDOW_MS = 1000;
const LEVEL_AGE_MS = 50;

/** @public */
export class ArrivalShares {
  /** Requests that arrived, and those of them that were taken. */
  private readonly uses = CustomerUses.create(WINDOW_MS);
  private cachedLevel = Infinity;
  private levelAtMs = -Infinity;

  private constructor() {}

  static create(): ArrivalShares {
    return new ArrivalShares();
  }

  /** Counts a request that arrives. */
  onArrival(customer: string, nowMs: number): void {
    this.uses.add(customer, {requested: 1, admitted: 0}, nowMs);
  }

  /** Counts one of them that is taken. */
  onTaken(customer: string, nowMs: number): void {
    this.uses.add(customer, {requested: 0, admitted: 1}, nowMs);
  }

  /**
   * Whether a customer's next request is within its part.
   *
   * @param servedPart - part of all requests that is served, 0 to 1
   */
  hasShare(customer: string, servedPart: number, nowMs: number): boolean {
    const taken = this.uses.of(customer, nowMs).admitted;
    return taken < this.level(servedPart, nowMs);
  }

  private level(servedPart: number, nowMs: number): number {
    if (nowMs - this.levelAtMs < LEVEL_AGE_MS) return this.cachedLevel;
    const arrived = this.uses.all(nowMs).map(({requested}) => requested);
    const total = arrived.reduce((sum, count) => sum + count, 0);
    this.cachedLevel = maxMinLevel(arrived, servedPart * total);
    this.levelAtMs = nowMs;
    return this.cachedLevel;
  }
}
