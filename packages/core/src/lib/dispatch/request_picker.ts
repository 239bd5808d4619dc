/** Chooses the next waiting request and the target that runs it. */
import {hash32} from '@applebend/utils';

import type {ServiceCounters} from '../fairness/service_counters.js';
import type {Backlog} from './backlog.js';
import type {QueuedRequest} from './dispatch_types.js';
import type {FairnessMonitor} from './fairness_monitor.js';
import type {Isolation} from './isolation.js';
import type {Policy} from './policy.js';
import type {SlotTable} from './slot_table.js';

/** A request and its target. @public */
export interface Pick {
  readonly request: QueuedRequest;
  readonly target: string;
}

/** The state that a choice is made from. @public */
export interface PickerParts {
  readonly policy: Policy;
  readonly backlog: Backlog;
  readonly ledger: ServiceCounters;
  readonly slots: SlotTable;
  readonly isolation: Isolation;
  readonly monitor: FairnessMonitor;
}

interface Candidate {
  readonly customer: string;
  /** Lower goes first: service for fair order, else arrival time. */
  readonly rank: number;
}

/** How many of one customer's requests are tried for a free target. */
const MAX_REQUESTS_TRIED = 16;

/** @public */
export class RequestPicker {
  private rotation = 0;

  private constructor(private readonly parts: PickerParts) {}

  static create(parts: PickerParts): RequestPicker {
    return new RequestPicker(parts);
  }

  /** The next grant, or undefined when nothing that waits can run. */
  next(nowMs: number): Pick | undefined {
    const {backlog, slots} = this.parts;
    const open = slots.anyFree(false, nowMs);
    if (!open && (backlog.shortCount === 0 || !slots.anyFree(true, nowMs))) {
      return undefined;
    }
    const first = this.leastCandidate(nowMs);
    if (first === undefined) return undefined;
    return (
      this.pickFor(first.customer, open, nowMs) ??
      this.pickOther(first, open, nowMs)
    );
  }

  /** The first customer in order whose work can run, `first` left out. */
  private pickOther(
    first: Candidate,
    open: boolean,
    nowMs: number
  ): Pick | undefined {
    const candidates = [...this.candidates(nowMs)];
    candidates.sort((a, b) => a.rank - b.rank);
    for (const {customer, rank} of candidates) {
      if (customer === first.customer) continue;
      if (!open && this.isTooFarAhead(rank, first.rank)) return undefined;
      const pick = this.pickFor(customer, open, nowMs);
      if (pick !== undefined) return pick;
    }
    return undefined;
  }

  /** Slots for short calls must not widen the gap beyond the slack. */
  private isTooFarAhead(rank: number, least: number): boolean {
    if (this.parts.policy.order !== 'fair') return false;
    return rank - least > this.parts.monitor.slack;
  }

  private leastCandidate(nowMs: number): Candidate | undefined {
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
    const {policy, ledger, backlog} = this.parts;
    if (policy.order === 'fair') return ledger.serviceOf(customer);
    for (const request of backlog.inOrder(customer, nowMs)) {
      return request.queuedAtMs;
    }
    return Infinity;
  }

  private pickFor(
    customer: string,
    open: boolean,
    nowMs: number
  ): Pick | undefined {
    let tried = 0;
    for (const request of this.parts.backlog.inOrder(customer, nowMs)) {
      if (!open && !request.short) continue;
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
    const avoidable = avoid.length < slots.ids.length;
    const free = slots.freeTargets(request.short, nowMs, target => {
      if (avoidable && avoid.includes(target)) return false;
      return isolation.allows(fingerprint, target, nowMs);
    });
    if (free.length === 0) return undefined;
    if (this.parts.policy.placement === 'rotation') {
      this.rotation += 1;
      return free.sort()[this.rotation % free.length];
    }
    return this.leastLoadedByAffinity(free, affinity);
  }

  /** Among equally loaded targets, the one likeliest to hold the prefix. */
  private leastLoadedByAffinity(free: string[], affinity: number): string {
    const {slots} = this.parts;
    const least = slots.load(free[0]);
    const ties = free.filter(target => slots.load(target) <= least);
    const weigh = (target: string) => hash32(`${affinity}#${target}`);
    return ties.reduce((a, b) => (weigh(b) > weigh(a) ? b : a));
  }
}
