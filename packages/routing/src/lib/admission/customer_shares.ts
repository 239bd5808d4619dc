/**
 * How much service each customer asked for and was given over the fleet in
 * the last seconds, and the max-min share that this leaves each of them.
 */
import {WindowSum} from './window_sum.js';

/** Asked and given service, in weighted tokens. @public */
export interface CustomerUse {
  readonly asked: number;
  readonly given: number;
}

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
export interface ShareStanding {
  /** Weighted tokens that it was given in the window of shares. */
  readonly given: number;
  /** The same in the window of the even level. */
  readonly recentGiven: number;
  readonly levels: ShareLevels;
}

/** The standing of calls that are not counted. @public */
export const NO_SHARE_LIMIT: ShareStanding = {
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

interface Windows {
  readonly asked: WindowSum;
  readonly given: WindowSum;
  readonly recentAsked: WindowSum;
  readonly recentGiven: WindowSum;
}

/** Uses of all customers in a sliding window. @public */
export class CustomerShares {
  private readonly windows = new Map<string, Windows>();
  private cached: ShareLevels = {owed: Infinity, even: Infinity};
  private levelsAtMs = -Infinity;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): CustomerShares {
    return new CustomerShares(windowMs);
  }

  /** Adds what was asked for and given here or at a peer. */
  add(customer: string, use: CustomerUse, nowMs: number): void {
    const windows = this.windowsOf(customer);
    windows.asked.add(use.asked, nowMs);
    windows.given.add(use.given, nowMs);
    windows.recentAsked.add(use.asked, nowMs);
    windows.recentGiven.add(use.given, nowMs);
  }

  useOf(customer: string, nowMs: number): CustomerUse {
    const windows = this.windows.get(customer);
    if (windows === undefined) return {asked: 0, given: 0};
    return {
      asked: windows.asked.total(nowMs),
      given: windows.given.total(nowMs),
    };
  }

  standing(customer: string, tokensPerS: number, nowMs: number): ShareStanding {
    const {given} = this.useOf(customer, nowMs);
    const windows = this.windows.get(customer);
    const recentGiven = windows?.recentGiven.total(nowMs) ?? 0;
    return {given, recentGiven, levels: this.levels(tokensPerS, nowMs)};
  }

  /** The levels of the window that ends now. */
  levels(tokensPerS: number, nowMs: number): ShareLevels {
    if (nowMs - this.levelsAtMs < LEVELS_AGE_MS) return this.cached;
    const owed = (tokensPerS * this.windowMs) / 1000;
    const asked: number[] = [];
    const recentAsked: number[] = [];
    let recentGiven = 0;
    for (const windows of this.windows.values()) {
      asked.push(windows.asked.total(nowMs));
      recentAsked.push(windows.recentAsked.total(nowMs));
      recentGiven += windows.recentGiven.total(nowMs);
    }
    this.cached = {
      owed: maxMinLevel(asked, owed),
      even: maxMinLevel(recentAsked, recentGiven),
    };
    this.levelsAtMs = nowMs;
    return this.cached;
  }

  private windowsOf(customer: string): Windows {
    let windows = this.windows.get(customer);
    if (windows === undefined) {
      const {windowMs} = this;
      windows = {
        asked: WindowSum.create(windowMs),
        given: WindowSum.create(windowMs),
        recentAsked: WindowSum.create(EVEN_WINDOW_MS),
        recentGiven: WindowSum.create(EVEN_WINDOW_MS),
      };
      this.windows.set(customer, windows);
    }
    return windows;
  }
}

const LEVELS_AGE_MS = 50;

/** The level to which a capacity fills the demands. @public */
export function maxMinLevel(
  demands: readonly number[],
  capacity: number
): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let left = capacity;
  let count = sorted.length;
  for (const demand of sorted) {
    const even = left / count;
    if (demand > even) return even;
    left -= demand;
    count -= 1;
  }
  return Infinity;
}
