/** Watches the gap between backlogged customers against its derived bound. */
import {fairnessBound} from './fairness_bound.js';

import type {ServiceCounters} from '../fairness/service_counters.js';

interface Watched {
  share: number;
  running: number;
  peakRunning: number;
}

/** The gap at one moment. @public */
export interface FairnessReading {
  /** Largest difference in weighted tokens per share. */
  readonly gap: number;
  readonly bound: number;
}

/** Asserts the fairness bound inside the program. @public */
export class FairnessMonitor {
  private readonly customers = new Map<string, Watched>();
  private largestCost = 0;
  private worst: FairnessReading = {gap: 0, bound: 0};
  private violationCount = 0;

  private constructor(private readonly ledger: ServiceCounters) {}

  static create(ledger: ServiceCounters): FairnessMonitor {
    return new FairnessMonitor(ledger);
  }

  /** How often the gap passed its bound. */
  get violations(): number {
    return this.violationCount;
  }

  /** The reading with the largest gap so far. */
  get worstReading(): FairnessReading {
    return this.worst;
  }

  /** The slack within which a customer may go out of turn. */
  get slack(): number {
    return this.largestCost;
  }

  onCost(cost: number): void {
    this.largestCost = Math.max(this.largestCost, cost);
  }

  onShare(customer: string, share: number): void {
    this.watch(customer).share = share;
  }

  onStart(customer: string): void {
    const watched = this.watch(customer);
    watched.running += 1;
    watched.peakRunning = Math.max(watched.peakRunning, watched.running);
  }

  onStop(customer: string): void {
    const watched = this.watch(customer);
    watched.running = Math.max(0, watched.running - 1);
  }

  /** Forgets a customer whose counter is forgotten too. */
  forget(customer: string): void {
    this.customers.delete(customer);
  }

  /** Compares the customers whose work could run now. */
  check(eligible: Iterable<string>): FairnessReading {
    let least = Infinity;
    let most = -Infinity;
    for (const customer of eligible) {
      const service = this.ledger.serviceOf(customer);
      least = Math.min(least, service);
      most = Math.max(most, service);
    }
    if (most <= least) return {gap: 0, bound: 0};
    const reading = {gap: most - least, bound: this.boundAbove(least)};
    if (reading.gap > this.worst.gap) this.worst = reading;
    if (reading.gap > reading.bound) this.violationCount += 1;
    return reading;
  }

  /** The derived bound, the slack, and what was taken over above `least`. */
  private boundAbove(least: number): number {
    const derived = fairnessBound(this.largestCost, this.customers.values());
    const inherited = Math.max(0, this.ledger.highestAdopted - least);
    return derived + this.slack + inherited;
  }

  private watch(customer: string): Watched {
    let watched = this.customers.get(customer);
    if (watched === undefined) {
      watched = {share: 1, running: 0, peakRunning: 0};
      this.customers.set(customer, watched);
    }
    return watched;
  }
}
