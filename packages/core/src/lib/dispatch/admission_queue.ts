import {DrainRates} from './drain_rates.js';

import type {ServiceCounters} from '../fairness/service_counters.js';
import type {Backlog} from './backlog.js';
import type {CrashIsolation} from './crash_isolation.js';
import type {RulesLookup} from './dispatch_events.js';
import type {
  Announcement,
  DispatchRefusalReason,
  QueuedRequest,
} from './dispatch_types.js';
import type {FairnessMonitor} from './fairness_monitor.js';
import type {Policy} from './policy.js';

/** @public */
export interface AdmissionQueueOptions {
  readonly policy: Policy;
  readonly rulesOf: RulesLookup;
  readonly backlog: Backlog;
  readonly counters: ServiceCounters;
  readonly isolation: CrashIsolation;
  readonly monitor: FairnessMonitor;
}

/** Why a request may not wait, and when it may be sent again. @public */
export interface QueueRefusal {
  readonly reason: DispatchRefusalReason;
  readonly retryAfterMs: number;
}

/**
 * Admits requests to the backlog under the rules of their customer and class,
 * and takes them out for a grant.
 *
 * @public
 */
export class AdmissionQueue {
  private readonly drainRates = DrainRates.create();

  private constructor(private readonly options: AdmissionQueueOptions) {}

  static create(options: AdmissionQueueOptions): AdmissionQueue {
    return new AdmissionQueue(options);
  }

  /**
   * Adds a request, unless it waits already. Returns a refusal if its customer
   * has too many waiting requests or if it is quarantined.
   */
  admit(
    entry: string,
    announcement: Announcement,
    nowMs: number
  ): QueueRefusal | undefined {
    const {backlog, isolation, policy, rulesOf} = this.options;
    const {customer, className, requestId, fingerprint} = announcement;
    if (backlog.get(requestId) !== undefined) return undefined;
    const rules = rulesOf(customer, className);
    this.setShare(customer, rules.share);
    if (isolation.isQuarantined(fingerprint, nowMs)) {
      return {reason: 'quarantined', retryAfterMs: 0};
    }
    const queued = backlog.queueLengthOf(customer);
    if (queued >= rules.maxQueued) {
      const retryAfterMs = this.drainRates.retryAfterMs(customer, queued);
      return {reason: 'queue_full', retryAfterMs};
    }
    this.add({
      entry,
      announcement,
      priority: policy.order === 'fair' ? rules.priority : 0,
      short: rules.short,
      maxWaitMs: rules.maxWaitMs,
      queuedAtMs: nowMs - announcement.waitedMs,
    });
    return undefined;
  }

  /** Adds a request without checks, such as one whose slot was returned. */
  add(request: QueuedRequest): void {
    const {backlog, counters} = this.options;
    if (!backlog.add(request)) return;
    counters.lift(request.announcement.customer, backlog.customers);
  }

  /** Removes a request that is granted a slot. */
  take(request: QueuedRequest, nowMs: number): void {
    const {backlog, counters, rulesOf} = this.options;
    const {customer, className} = request.announcement;
    this.setShare(customer, rulesOf(customer, className).share);
    counters.advanceVirtualTime(customer);
    backlog.remove(request);
    this.drainRates.onGrant(customer, nowMs);
  }

  /** Evicts the drain rates of customers that are not in `active`. */
  evictInactive(active: ReadonlySet<string>): void {
    this.drainRates.evictInactive(active);
  }

  /** Applies the configured share; a change affects later charges only. */
  private setShare(customer: string, share: number): void {
    this.options.counters.setShare(customer, share);
    this.options.monitor.onShare(customer, share);
  }
}
