import type {ServiceCounters} from '../fairness/service_counters.js';
import type {CrashIsolation} from './crash_isolation.js';
import type {FairnessMonitor} from './fairness_monitor.js';
import type {Grant} from './grant_table.js';
import type {SlotTable} from './slot_table.js';

/** The state that running requests are recorded in. @public */
export interface RunningTrackerState {
  readonly slots: SlotTable;
  readonly isolation: CrashIsolation;
  readonly monitor: FairnessMonitor;
  readonly counters: ServiceCounters;
}

/**
 * Updates slots, crash isolation, fairness monitor and service counters when
 * requests start, stop and are charged.
 *
 * @public
 */
export class RunningTracker {
  private overLimitCount = 0;
  private charges = 0;

  private constructor(private readonly parts: RunningTrackerState) {}

  static create(parts: RunningTrackerState): RunningTracker {
    return new RunningTracker(parts);
  }

  /** Starts that put a target over its limit. */
  get overLimit(): number {
    return this.overLimitCount;
  }

  /** Number of charges so far, to detect changes of the service counters. */
  get chargeCount(): number {
    return this.charges;
  }

  /** Records the start of a request, whose slot is then in use. */
  start(grant: Grant): void {
    const {slots, isolation, monitor} = this.parts;
    const {customer, fingerprint} = grant.request.announcement;
    slots.occupy(grant.target);
    if (slots.inFlight(grant.target) > slots.maxInFlight(grant.target)) {
      this.overLimitCount += 1;
    }
    isolation.onStart(fingerprint, grant.target);
    monitor.onStart(customer);
  }

  /** Records the end of a request; the caller releases or orphans its slot. */
  stop(grant: Grant): void {
    const {customer, fingerprint} = grant.request.announcement;
    this.parts.isolation.onStop(fingerprint, grant.target);
    this.parts.monitor.onStop(customer);
  }

  /**
   * Charges the customer up to `cost`, the weighted tokens of the request so
   * far. A cost below the previous charge is refunded.
   */
  charge(grant: Grant, cost: number): void {
    const {customer} = grant.request.announcement;
    this.parts.monitor.onCost(cost);
    this.parts.counters.charge(customer, cost - grant.charged);
    grant.charged = cost;
    this.charges += 1;
  }
}
