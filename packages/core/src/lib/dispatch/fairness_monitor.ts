import {fairnessBound} from './fairness_bound.js';

import type {ServiceCounters} from '../fairness/service_counters.js';

interface CustomerState {
  share: number;
  running: number;
  /** The largest number of requests that it had running at once. */
  peakRunning: number;
}

/** Result of one check of the fairness bound. @public */
export interface FairnessReading {
  /** Largest difference of two counters, in weighted tokens per share. */
  readonly gap: number;
  /** What the gap may be at most, in the same unit. */
  readonly bound: number;
}

/**
 * Checks at run time that the gap between the service counters of backlogged
 * customers stays within its derived bound.
 *
 * @public
 */
export class FairnessMonitor {
  private readonly customers = new Map<string, CustomerState>();
  /** Weighted tokens of the most expensive request so far. */
  private largestCost = 0;
  private worst: FairnessReading = {gap: 0, bound: 0};
  private violationCount = 0;

  private constructor(private readonly counters: ServiceCounters) {}

  static create(counters: ServiceCounters): FairnessMonitor {
    return new FairnessMonitor(counters);
  }

  /** Number of checks at which the gap exceeded its bound. */
  get violations(): number {
    return this.violationCount;
  }

  /** The reading with the largest gap so far. */
  get worstReading(): FairnessReading {
    return this.worst;
  }

  /**
   * How far a customer's counter may be above the lowest for it to be granted
   * a slot for short calls before the others: the largest cost of one request.
   */
  get slack(): number {
    return this.largestCost;
  }

  /** Records the cost of one request, in weighted tokens. */
  onCost(cost: number): void {
    this.largestCost = Math.max(this.largestCost, cost);
  }

  onShare(customer: string, share: number): void {
    this.stateOf(customer).share = share;
  }

  /** Records that a request of the customer started to run. */
  onStart(customer: string): void {
    const state = this.stateOf(customer);
    state.running += 1;
    state.peakRunning = Math.max(state.peakRunning, state.running);
  }

  onStop(customer: string): void {
    const state = this.stateOf(customer);
    state.running = Math.max(0, state.running - 1);
  }

  /** Removes a customer whose service counter was evicted. */
  remove(customer: string): void {
    this.customers.delete(customer);
  }

  /** Compares the counters of customers that could all be granted a slot. */
  check(eligible: Iterable<string>): FairnessReading {
    let lowest = Infinity;
    let highest = -Infinity;
    for (const customer of eligible) {
      const service = this.counters.serviceOf(customer);
      lowest = Math.min(lowest, service);
      highest = Math.max(highest, service);
    }
    if (highest <= lowest) return {gap: 0, bound: 0};
    const reading = {gap: highest - lowest, bound: this.boundFor(lowest)};
    if (reading.gap > this.worst.gap) this.worst = reading;
    if (reading.gap > reading.bound) this.violationCount += 1;
    return reading;
  }

  /**
   * The derived bound, plus the slack, plus the amount by which a counter
   * adopted from another dispatcher may exceed `lowest`.
   */
  private boundFor(lowest: number): number {
    const derived = fairnessBound(this.largestCost, this.customers.values());
    const adoptedExcess = Math.max(0, this.counters.highestAdopted - lowest);
    return derived + this.slack + adoptedExcess;
  }

  private stateOf(customer: string): CustomerState {
    let state = this.customers.get(customer);
    if (state === undefined) {
      state = {share: 1, running: 0, peakRunning: 0};
      this.customers.set(customer, state);
    }
    return state;
  }
}
