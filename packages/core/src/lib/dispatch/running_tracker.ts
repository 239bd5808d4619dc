import type {ServiceCounters} from '../fairness/service_counters.js';
import type {CrashIsolation} from './crash_isolation.js';
import type {HeldSlot, QueuedRequest} from './dispatch_types.js';
import type {FairnessMonitor} from './fairness_monitor.js';
import type {Grant, GrantTable} from './grant_table.js';
import type {SlotTable} from './slot_table.js';

/** The state that running requests are recorded in. @public */
export interface RunningTrackerState {
  readonly grants: GrantTable;
  readonly slots: SlotTable;
  readonly isolation: CrashIsolation;
  readonly monitor: FairnessMonitor;
  readonly counters: ServiceCounters;
}

/**
 * Updates grants, slots, crash isolation, fairness monitor and service counters
 * together when requests start, end, lose their entry's link and are charged.
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

  /** Grants a slot on the target and charges the request's estimate. */
  start(request: QueuedRequest, target: string): Grant {
    const grant = this.parts.grants.issue(request, target);
    this.onStart(grant);
    this.charge(grant, request.announcement.estimate);
    return grant;
  }

  /** Adds a slot that another dispatcher granted and charged. */
  adopt(entry: string, held: HeldSlot, nowMs: number): void {
    const grant = this.parts.grants.adopt(entry, held, nowMs);
    this.parts.monitor.onCost(held.charged);
    this.onStart(grant);
  }

  /** Removes the grant of a request that has ended and releases its slot. */
  end(grant: Grant): void {
    this.onStop(grant);
    this.parts.grants.remove(grant);
    this.parts.slots.release(grant.target);
  }

  /** Orphans the slots of an entry whose requests may still run. */
  orphanAllOf(entry: string): void {
    const {grants, slots} = this.parts;
    for (const grant of grants.heldBy(entry)) {
      this.onStop(grant);
      grants.orphan(grant);
      slots.orphan(grant.target);
    }
  }

  /** Ends all requests of an entry and releases its slots, orphaned ones too. */
  endAllOf(entry: string): void {
    const {grants, slots} = this.parts;
    for (const grant of grants.heldBy(entry)) this.end(grant);
    for (const grant of grants.orphansOf(entry)) {
      grants.removeOrphan(grant);
      slots.releaseOrphan(grant.target);
    }
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

  private onStart(grant: Grant): void {
    const {slots, isolation, monitor} = this.parts;
    const {customer, fingerprint} = grant.request.announcement;
    slots.occupy(grant.target);
    if (slots.inFlight(grant.target) > slots.maxInFlight(grant.target)) {
      this.overLimitCount += 1;
    }
    isolation.onStart(fingerprint, grant.target);
    monitor.onStart(customer);
  }

  /** The caller releases or orphans the slot. */
  private onStop(grant: Grant): void {
    const {customer, fingerprint} = grant.request.announcement;
    this.parts.isolation.onStop(fingerprint, grant.target);
    this.parts.monitor.onStop(customer);
  }
}
