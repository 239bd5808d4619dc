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

interface Windows {
  readonly asked: WindowSum;
  readonly given: WindowSum;
}

/** Uses of all customers in a sliding window. @public */
export class CustomerShares {
  private readonly windows = new Map<string, Windows>();
  private cachedLevel = Infinity;
  private levelAtMs = -Infinity;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): CustomerShares {
    return new CustomerShares(windowMs);
  }

  /** Adds what was asked for and given here or at a peer. */
  add(customer: string, use: CustomerUse, nowMs: number): void {
    const windows = this.windowsOf(customer);
    windows.asked.add(use.asked, nowMs);
    windows.given.add(use.given, nowMs);
  }

  useOf(customer: string, nowMs: number): CustomerUse {
    const windows = this.windows.get(customer);
    if (windows === undefined) return {asked: 0, given: 0};
    return {
      asked: windows.asked.total(nowMs),
      given: windows.given.total(nowMs),
    };
  }

  /**
   * The max-min level: customers that asked for less get all, the others this
   * much each, in weighted tokens a window. Infinite while all can be served.
   */
  level(tokensPerS: number, nowMs: number): number {
    if (nowMs - this.levelAtMs < LEVEL_AGE_MS) return this.cachedLevel;
    const capacity = (tokensPerS * this.windowMs) / 1000;
    this.cachedLevel = maxMinLevel(this.allAsked(nowMs), capacity);
    this.levelAtMs = nowMs;
    return this.cachedLevel;
  }

  private allAsked(nowMs: number): number[] {
    const asked: number[] = [];
    for (const windows of this.windows.values()) {
      asked.push(windows.asked.total(nowMs));
    }
    return asked;
  }

  private windowsOf(customer: string): Windows {
    let windows = this.windows.get(customer);
    if (windows === undefined) {
      const {windowMs} = this;
      windows = {
        asked: WindowSum.create(windowMs),
        given: WindowSum.create(windowMs),
      };
      this.windows.set(customer, windows);
    }
    return windows;
  }
}

const LEVEL_AGE_MS = 50;

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
