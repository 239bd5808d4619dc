import {maxMinLevel} from './max_min_level.js';
import {UsageWindow} from './usage_window.js';

import type {CustomerUsage} from './usage_window.js';

/**
 * Max-min levels in the unit of the pool: a customer that requested less than
 * the level gets all that it requested, the others get the level. Infinite if every
 * customer can get all that it requested.
 *
 * @public
 */
export interface ShareLevels {
  /** Level of the configured rate over the share window. */
  readonly owed: number;
  /**
   * Level of all that was admitted in the recent window: what each customer
   * would have got from a fair division of it.
   */
  readonly even: number;
}

/** A customer's usage of a pool beside the share levels. @public */
export interface ShareStatus {
  /** Admitted in the share window. */
  readonly admitted: number;
  /** Admitted in the recent window. */
  readonly recentAdmitted: number;
  readonly levels: ShareLevels;
}

/**
 * Name of the pool in which the usage of all model engines counts, in weighted
 * tokens. Each plain service is a pool of its own name, in which requests count.
 *
 * @public
 */
export const ENGINE_POOL = '';

/**
 * After engines are lost, tokens admitted before the loss count against a
 * customer for this long. It has to stay well below the six seconds over which
 * the usage of customers with refused requests is compared.
 */
const RECENT_WINDOW_MS = 2500;

/** The levels are computed again if they are older than this. */
const MAX_LEVELS_AGE_MS = 50;

/**
 * Tracks the fleet-wide usage of one pool by all customers in two sliding
 * windows, and the max-min share levels that follow from it.
 *
 * @public
 */
export class CustomerShares {
  private readonly usage: UsageWindow;
  private readonly recentUsage = UsageWindow.create(RECENT_WINDOW_MS);
  private cachedLevels: ShareLevels = {owed: Infinity, even: Infinity};
  private cachedAtMs = -Infinity;

  private constructor(private readonly windowMs: number) {
    this.usage = UsageWindow.create(windowMs);
  }

  /**
   * @param windowMs - length of the share window, over which the configured
   *     rate is divided
   */
  static create(windowMs: number): CustomerShares {
    return new CustomerShares(windowMs);
  }

  /** Adds what was requested and admitted here or at a peer. */
  add(customer: string, usage: CustomerUsage, nowMs: number): void {
    this.usage.add(customer, usage, nowMs);
    this.recentUsage.add(customer, usage, nowMs);
  }

  /** Returns a customer's usage in the share window. */
  usageOf(customer: string, nowMs: number): CustomerUsage {
    return this.usage.of(customer, nowMs);
  }

  /**
   * Returns a customer's usage and the current share levels.
   *
   * @param ratePerS - the configured rate of the pool; infinite if it has none
   */
  statusOf(customer: string, ratePerS: number, nowMs: number): ShareStatus {
    return {
      admitted: this.usage.of(customer, nowMs).admitted,
      recentAdmitted: this.recentUsage.of(customer, nowMs).admitted,
      levels: this.levels(ratePerS, nowMs),
    };
  }

  /**
   * Returns the share levels of the windows that end now, or cached levels of
   * less than 50 ms ago.
   *
   * @param ratePerS - the configured rate of the pool; infinite if it has none
   */
  levels(ratePerS: number, nowMs: number): ShareLevels {
    if (nowMs - this.cachedAtMs < MAX_LEVELS_AGE_MS) return this.cachedLevels;
    const configured = (ratePerS * this.windowMs) / 1000;
    const recent = this.recentUsage.all(nowMs);
    const admitted = recent.reduce((sum, usage) => sum + usage.admitted, 0);
    this.cachedLevels = {
      owed: maxMinLevel(requestedOf(this.usage.all(nowMs)), configured),
      even: maxMinLevel(requestedOf(recent), admitted),
    };
    this.cachedAtMs = nowMs;
    return this.cachedLevels;
  }
}

function requestedOf(usage: readonly CustomerUsage[]): number[] {
  return usage.map(({requested}) => requested);
}
