import {hash32} from '@applebend/utils';

import type {ServiceCounters} from '../fairness/service_counters.js';
import type {Backlog} from './backlog.js';
import type {CrashIsolation} from './crash_isolation.js';
import type {QueuedRequest} from './dispatch_types.js';
import type {FairnessMonitor} from './fairness_monitor.js';
import type {Policy} from './policy.js';
import type {SlotTable} from './slot_table.js';

/** A request to be granted a slot, and the target of the slot. @public */
export interface Selection {
  readonly request: QueuedRequest;
  readonly target: string;
}

/** The state that selections are made from. @public */
export interface PickerState {
  readonly policy: Policy;
  readonly backlog: Backlog;
  readonly counters: ServiceCounters;
  readonly slots: SlotTable;
  readonly isolation: CrashIsolation;
  readonly monitor: FairnessMonitor;
}

interface Candidate {
  readonly customer: string;
  /** Lower goes first: the service counter in fair order, else arrival time. */
  readonly rank: number;
}

/** Limits how many requests of one customer are tried for a free target. */
const MAX_REQUESTS_TRIED = 16;

/**
 * Selects the next waiting request to run, and its target.
 *
 * @public
 */
export class RequestPicker {
  /** Number of selections so far under the placement by rotation. */
  private rotation = 0;

  private constructor(private readonly parts: PickerState) {}

  static create(parts: PickerState): RequestPicker {
    return new RequestPicker(parts);
  }

  /** The next selection, or undefined if no waiting request can run now. */
  next(nowMs: number): Selection | undefined {
    const {backlog, slots} = this.parts;
    // Whether a slot is free that any request may use, not only a short call.
    const hasRegularSlot = slots.hasFreeSlot(false, nowMs);
    if (
      !hasRegularSlot &&
      (backlog.shortCallCount === 0 || !slots.hasFreeSlot(true, nowMs))
    ) {
      return undefined;
    }
    const first = this.firstCandidate(nowMs);
    if (first === undefined) return undefined;
    return (
      this.pickFor(first.customer, hasRegularSlot, nowMs) ??
      this.pickOther(first, hasRegularSlot, nowMs)
    );
  }

  /** Selects for the first customer after `first` that has a request to run. */
  private pickOther(
    first: Candidate,
    regularFree: boolean,
    nowMs: number
  ): Selection | undefined {
    const candidates = [...this.candidates(nowMs)];
    candidates.sort((a, b) => a.rank - b.rank);
    for (const {customer, rank} of candidates) {
      if (customer === first.customer) continue;
      if (!regularFree && this.isTooFarAhead(rank, first.rank))
        return undefined;
      const selection = this.pickFor(customer, regularFree, nowMs);
      if (selection !== undefined) return selection;
    }
    return undefined;
  }

  /**
   * Whether a customer's counter exceeds the lowest one by more than the
   * slack. Such a customer gets no slot for short calls, which would widen the
   * gap further.
   */
  private isTooFarAhead(rank: number, least: number): boolean {
    if (this.parts.policy.order !== 'fair') return false;
    return rank - least > this.parts.monitor.slack;
  }

  private firstCandidate(nowMs: number): Candidate | undefined {
    let least: Candidate | undefined;
    for (const candidate of this.candidates(nowMs)) {
      if (least === undefined || candidate.rank < least.rank) least = candidate;
    }
    return least;
  }

  private *candidates(nowMs: number): Generator<Candidate> {
    for (const customer of this.parts.backlog.customers) {
      yield {customer, rank: this.rankOf(customer, nowMs)};
    }
  }

  private rankOf(customer: string, nowMs: number): number {
    const {policy, counters, backlog} = this.parts;
    if (policy.order === 'fair') return counters.serviceOf(customer);
    for (const request of backlog.inOrder(customer, nowMs)) {
      return request.queuedAtMs;
    }
    return Infinity;
  }

  /** Selects a request of one customer, or undefined if none can run now. */
  private pickFor(
    customer: string,
    regularFree: boolean,
    nowMs: number
  ): Selection | undefined {
    let tried = 0;
    for (const request of this.parts.backlog.inOrder(customer, nowMs)) {
      if (!regularFree && !request.short) continue;
      const target = this.targetFor(request, nowMs);
      if (target !== undefined) return {request, target};
      tried += 1;
      if (tried >= MAX_REQUESTS_TRIED) return undefined;
    }
    return undefined;
  }

  private targetFor(request: QueuedRequest, nowMs: number): string | undefined {
    const {fingerprint, avoid, affinity} = request.announcement;
    const {slots, isolation} = this.parts;
    const canAvoid = avoid.length < slots.targetIds.length;
    const free = slots.freeTargets(request.short, nowMs, target => {
      if (canAvoid && avoid.includes(target)) return false;
      return isolation.allows(fingerprint, target, nowMs);
    });
    if (free.length === 0) return undefined;
    if (this.parts.policy.placement === 'rotation') {
      this.rotation += 1;
      return free.sort()[this.rotation % free.length];
    }
    return this.leastLoadedByAffinity(free, affinity);
  }

  /**
   * Among the least loaded targets, returns the one that requests with the
   * same prompt prefix usually run on, so that its prefix cache is used.
   */
  private leastLoadedByAffinity(free: string[], affinity: number): string {
    const {slots} = this.parts;
    const least = slots.load(free[0]);
    const ties = free.filter(target => slots.load(target) <= least);
    const weightOf = (target: string) => hash32(`${affinity}#${target}`);
    return ties.reduce((a, b) => (weightOf(b) > weightOf(a) ? b : a));
  }
}
