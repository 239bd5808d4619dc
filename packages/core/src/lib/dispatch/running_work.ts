/** What every running request counts for: slots, isolation and service. */
import type {ServiceCounters} from '../fairness/service_counters.js';
import type {FairnessMonitor} from './fairness_monitor.js';
import type {Grant} from './grant_book.js';
import type {Isolation} from './isolation.js';
import type {SlotTable} from './slot_table.js';

/** The accounts that running requests stand in. @public */
export interface RunningWorkParts {
  readonly slots: SlotTable;
  readonly isolation: Isolation;
  readonly monitor: FairnessMonitor;
  readonly ledger: ServiceCounters;
}

/** @public */
export class RunningWork {
  private overLimitCount = 0;
  private charges = 0;

  private constructor(private readonly parts: RunningWorkParts) {}

  static create(parts: RunningWorkParts): RunningWork {
    return new RunningWork(parts);
  }

  /** Starts that put a target over its limit. */
  get overLimit(): number {
    return this.overLimitCount;
  }

  /** Grows whenever a counter of service moves. */
  get chargeCount(): number {
    return this.charges;
  }

  start(grant: Grant): void {
    const {slots, isolation, monitor} = this.parts;
    const {customer, fingerprint} = grant.request.announcement;
    slots.take(grant.target);
    if (slots.inFlight(grant.target) > slots.ceiling(grant.target)) {
      this.overLimitCount += 1;
    }
    isolation.onStart(fingerprint, grant.target);
    monitor.onStart(customer);
  }

  /** The slot is given back, or turned into a ghost, by the caller. */
  stop(grant: Grant): void {
    const {customer, fingerprint} = grant.request.announcement;
    this.parts.isolation.onStop(fingerprint, grant.target);
    this.parts.monitor.onStop(customer);
  }

  /** Sets what a request has cost so far; a lower cost gives back. */
  charge(grant: Grant, cost: number): void {
    const {customer} = grant.request.announcement;
    this.parts.monitor.onCost(cost);
    this.parts.ledger.charge(customer, cost - grant.charged);
    grant.charged = cost;
    this.charges += 1;
  }
}
