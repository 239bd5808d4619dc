/**
 * How much service each customer asked for and was given over the fleet in
 * the last seconds, and the max-min share that this leaves each of them.
 */
import {CustomerUses} from './customer_uses.js';
import {maxMinLevel} from './max_min_level.js';

import type {CustomerUse} from './customer_uses.js';

/**
 * Max-min levels in weighted tokens: customers that asked for less get all,
 * the others this much each. Infinite while all is served.
 *
 * @public
 */
export interface ShareLevels {
  /** Of the configured rate, in the window of shares. */
  readonly owed: number;
  /** Of all that was given in the last seconds, had it been given evenly. */
  readonly even: number;
}

/** How a customer stands in the window. @public */
export interface ShareStatus {
  /** Weighted tokens that it was given in the window of shares. */
  readonly given: number;
  /** The same in the window of the even level. */
  readonly recentGiven: number;
  readonly levels: ShareLevels;
}

/** The standing of calls that are not counted. @public */
export const UNLIMITED_SHARE: ShareStatus = {
  given: 0,
  recentGiven: 0,
  levels: {owed: Infinity, even: Infinity},
};

/**
 * Window of the even level. What a customer was given before a loss of engines
 * is held against it for so long; it has to stay well under the six seconds
 * over which customers that wait are compared.
 */
const EVEN_WINDOW_MS = 2500;

const LEVELS_AGE_MS = 50;

/** Uses of all customers in two sliding windows. @public */
export class CustomerShares {
  private readonly uses: CustomerUses;
  private readonly recent = CustomerUses.create(EVEN_WINDOW_MS);
  private cached: ShareLevels = {owed: Infinity, even: Infinity};
  private levelsAtMs = -Infinity;

  private constructor(private readonly windowMs: number) {
    this.uses = CustomerUses.create(windowMs);
  }

  /**
   * @param windowMs - the window of shares, in which the configured rate is
   *     divided
   */
  static create(windowMs: number): CustomerShares {
    return new CustomerShares(windowMs);
  }

  /** Adds what was asked for and given here or at a peer. */
  add(customer: string, use: CustomerUse, nowMs: number): void {
    this.uses.add(customer, use, nowMs);
    this.recent.add(customer, use, nowMs);
  }

  /** A customer's use in the window of shares. */
  useOf(customer: string, nowMs: number): CustomerUse {
    return this.uses.of(customer, nowMs);
  }

  /**
   * How a customer stands.
   *
   * @param tokensPerS - the configured rate, in weighted tokens
   */
  statusOf(customer: string, tokensPerS: number, nowMs: number): ShareStatus {
    return {
      given: this.uses.of(customer, nowMs).admitted,
      recentGiven: this.recent.of(customer, nowMs).admitted,
      levels: this.levels(tokensPerS, nowMs),
    };
  }

  /** The levels of the windows that end now. */
  levels(tokensPerS: number, nowMs: number): ShareLevels {
    if (nowMs - this.levelsAtMs < LEVELS_AGE_MS) return this.cached;
    const configured = (tokensPerS * this.windowMs) / 1000;
    const recent = this.recent.all(nowMs);
    const given = recent.reduce((sum, use) => sum + use.admitted, 0);
    this.cached = {
      owed: maxMinLevel(askedOf(this.uses.all(nowMs)), configured),
      even: maxMinLevel(askedOf(recent), given),
    };
    this.levelsAtMs = nowMs;
    return this.cached;
  }
}

function askedOf(uses: readonly CustomerUse[]): number[] {
  return uses.map(({requested}) => requested);
}
