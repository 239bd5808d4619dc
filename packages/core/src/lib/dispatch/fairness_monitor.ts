/** Watches the gap between backlogged customers against its derived bound. */
import {fairnessBound} from './fairness_bound.js';

import type {ServiceLedger} from '../fairness/service_ledger.js';

interface Watched {
  share: number;
  running: number;
  peakRunning: number;
  backlogged: boolean;
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
  /** Gap taken over from counters that earlier dispatchers had reached. */
  private inherited = 0;
  private worst: FairnessReading = {gap: 0, bound: 0};
  private violationCount = 0;

  private constructor(private readonly ledger: ServiceLedger) {}

  static create(ledger: ServiceLedger): FairnessMonitor {
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

  onCost(cost: number): void {
    this.largestCost = Math.max(this.largestCost, cost);
  }

  onBacklogged(customer: string, share: number): void {
    const watched = this.watch(customer);
    watched.share = share;
    watched.backlogged = true;
    watched.peakRunning = watched.running;
  }

  onDrained(customer: string): void {
    const watched = this.watch(customer);
    watched.backlogged = false;
    if (watched.running === 0) this.customers.delete(customer);
  }

  onStart(customer: string): void {
    const watched = this.watch(customer);
    watched.running += 1;
    watched.peakRunning = Math.max(watched.peakRunning, watched.running);
  }

  onStop(customer: string): void {
    const watched = this.watch(customer);
    watched.running = Math.max(0, watched.running - 1);
    if (watched.running === 0 && !watched.backlogged) {
      this.customers.delete(customer);
    }
  }

  /** Notes counters that came from elsewhere; their gap is not ours. */
  onAdopted(eligible: Iterable<string>): void {
    this.inherited = this.gapOf(eligible);
  }

  /** The slack within which a customer may go out of turn. */
  get slack(): number {
    return this.largestCost;
  }

  /** Compares the customers whose work could run now. */
  check(eligible: Iterable<string>): FairnessReading {
    const gap = this.gapOf(eligible);
    const derived = fairnessBound(this.largestCost, this.backloggedTerms());
    if (gap <= derived) this.inherited = 0;
    const bound = derived + this.slack + this.inherited;
    const reading = {gap, bound};
    if (gap > this.worst.gap) this.worst = reading;
    if (gap > bound + Number.EPSILON * gap) this.violationCount += 1;
    return reading;
  }

  private gapOf(eligible: Iterable<string>): number {
    let least = Infinity;
    let most = -Infinity;
    for (const customer of eligible) {
      const service = this.ledger.serviceOf(customer);
      least = Math.min(least, service);
      most = Math.max(most, service);
    }
    return most > least ? most - least : 0;
  }

  private *backloggedTerms(): Generator<Watched> {
    for (const watched of this.customers.values()) {
      if (watched.backlogged) yield watched;
    }
  }

  private watch(customer: string): Watched {
    let watched = this.customers.get(customer);
    if (watched === undefined) {
      watched = {share: 1, running: 0, peakRunning: 0, backlogged: false};
      this.customers.set(customer, watched);
    }
    return watched;
  }
}
