/**
 * How much service each customer asked for and was given over the fleet in
 * the last seconds, and the max-min share that this leaves each of them.
 */
import {UsageWindow} from './usage_window.js';
import {maxMinLevel} from './max_min_level.js';

import type {CustomerUsage} from './usage_window.js';

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
  readonly admitted: number;
  /** The same in the window of the even level. */
  readonly recentAdmitted: number;
  readonly levels: ShareLevels;
}

/** The standing of calls that are not counted. @public */
export const UNLIMITED_SHARE: ShareStatus = {
  admitted: 0,
  recentAdmitted: 0,
  levels: {owed: Infinity, even: Infinity},
};

/**
 * Window of the even level. What a customer was given before a loss of engines
 * is held against it for so long; it has to stay well under the six seconds
 * over which customers that wait are compared.
 */
const EVEN_LEVEL_WINDOW_MS = 2500;

const MAX_LEVELS_AGE_MS = 50;

/** Uses of all customers in two sliding windows. @public */
export class CustomerShares {
  private readonly usage: UsageWindow;
  private readonly recentUsage = UsageWindow.create(EVEN_LEVEL_WINDOW_MS);
  private cachedLevels: ShareLevels = {owed: Infinity, even: Infinity};
  private cachedAtMs = -Infinity;

  private constructor(private readonly windowMs: number) {
    this.usage = UsageWindow.create(windowMs);
  }

  /**
   * @param windowMs - the window of shares, in which the configured rate is
   *     divided
   */
  static create(windowMs: number): CustomerShares {
    return new CustomerShares(windowMs);
  }

  /** Adds what was asked for and given here or at a peer. */
  add(customer: string, use: CustomerUsage, nowMs: number): void {
    this.usage.add(customer, use, nowMs);
    this.recentUsage.add(customer, use, nowMs);
  }

  /** A customer's use in the window of shares. */
  usageOf(customer: string, nowMs: number): CustomerUsage {
    return this.usage.of(customer, nowMs);
  }

  /**
   * How a customer stands.
   *
   * @param tokensPerS - the configured rate, in weighted tokens
   */
  statusOf(customer: string, tokensPerS: number, nowMs: number): ShareStatus {
    return {
      admitted: this.usage.of(customer, nowMs).admitted,
      recentAdmitted: this.recentUsage.of(customer, nowMs).admitted,
      levels: this.levels(tokensPerS, nowMs),
    };
  }

  /** The levels of the windows that end now. */
  levels(tokensPerS: number, nowMs: number): ShareLevels {
    if (nowMs - this.cachedAtMs < MAX_LEVELS_AGE_MS) return this.cachedLevels;
    const configured = (tokensPerS * this.windowMs) / 1000;
    const recent = this.recentUsage.all(nowMs);
    const given = recent.reduce((sum, use) => sum + use.admitted, 0);
    this.cachedLevels = {
      owed: maxMinLevel(requestedOf(this.usage.all(nowMs)), configured),
      even: maxMinLevel(requestedOf(recent), given),
    };
    this.cachedAtMs = nowMs;
    return this.cachedLevels;
  }
}

function requestedOf(uses: readonly CustomerUsage[]): number[] {
  return uses.map(({requested}) => requested);
}
