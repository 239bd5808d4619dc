import {match} from 'ts-pattern';
import {ServiceCounters} from '../fairness/service_counters.js';
import {AdmissionQueue} from './admission_queue.js';
import {Backlog} from './backlog.js';
import {CrashIsolation} from './crash_isolation.js';
import {EntryTable} from './entry_table.js';
import {FairnessMonitor} from './fairness_monitor.js';
import {GrantTable} from './grant_table.js';
import {RequestPicker} from './request_picker.js';
import {RunningTracker} from './running_tracker.js';
import {SlotTable} from './slot_table.js';

import type {TargetLoss} from '@applebend/routing';
import type {QueueRefusal} from './admission_queue.js';
import type {
  DispatchCommand,
  DispatcherOptions,
  DispatcherStats,
  DispatchEvent,
} from './dispatch_events.js';
import type {
  Announcement,
  DispatcherMessage,
  EntryMessage,
  QueuedRequest,
} from './dispatch_types.js';

/**
 * The scheduler of one cell: queues the requests of all entries and grants the
 * targets' free slots in the order of its policy. It does no I/O; the caller
 * passes events and the time, and sends the returned messages.
 *
 * @public
 */
export class Dispatcher {
  private readonly counters = ServiceCounters.create();
  private readonly monitor = FairnessMonitor.create(this.counters);
  private readonly backlog = Backlog.create();
  private readonly isolation = CrashIsolation.create();
  private readonly entries = EntryTable.create();
  private readonly slots: SlotTable;
  private readonly grants: GrantTable;
  private readonly running: RunningTracker;
  private readonly queue: AdmissionQueue;
  private readonly picker: RequestPicker;
  private routers: readonly string[] = [];
  private commands: DispatchCommand[] = [];
  private nowMs = 0;
  private chargeCountAtCheck = 0;

  private constructor(private readonly options: DispatcherOptions) {
    this.slots = SlotTable.create(options.slots);
    this.grants = GrantTable.create(options.incarnation);
    const {grants, slots, isolation, monitor, counters, backlog} = this;
    const {policy, rulesOf} = options;
    const parts = {isolation, monitor, counters};
    this.running = RunningTracker.create({...parts, grants, slots});
    this.queue = AdmissionQueue.create({...parts, policy, rulesOf, backlog});
    this.picker = RequestPicker.create({...parts, policy, backlog, slots});
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  get stats(): DispatcherStats {
    const {gap, bound} = this.monitor.worstReading;
    return {
      queued: this.backlog.size,
      held: this.grants.heldCount,
      ghosts: this.grants.orphanCount,
      usableSlots: this.slots.usableSlots(),
      fairnessGap: gap,
      fairnessBound: bound,
      fairnessViolations: this.monitor.violations,
      overLimit: this.running.overLimit,
    };
  }

  /** Handles one event and returns the messages that follow from it. */
  handle(event: DispatchEvent, nowMs: number): DispatchCommand[] {
    this.nowMs = nowMs;
    this.commands = [];
    match(event)
      .with({type: 'entry_message'}, e => this.onEntryMessage(e))
      .with({type: 'entry_seen'}, e => this.entries.onSeen(e.entry, e.sentAtMs))
      .with({type: 'entry_silent'}, e => this.onEntrySilent(e.entry))
      .with({type: 'entry_ended'}, e => this.onEntryEnded(e.entry))
      .with({type: 'routers'}, e => this.onRouters(e.routers))
      .with({type: 'targets'}, e => this.slots.setTargets(e.targets))
      .with({type: 'settings'}, e => this.slots.setSettings(e.slots))
      .with({type: 'loss'}, e => this.onLoss(e.loss))
      .with({type: 'tick'}, () => this.evictInactive())
      .exhaustive();
    this.grantFreeSlots();
    return this.commands;
  }

  private onEntryMessage(event: {
    entry: string;
    sentAtMs: number;
    message: EntryMessage;
  }): void {
    const {entry, message} = event;
    if (message.type === 'sync') {
      this.entries.onSync(entry, event.sentAtMs);
      this.onSync(entry, message);
      return;
    }
    if (!this.entries.isSynced(entry)) {
      const {cell} = this.options;
      if (message.type !== 'leave') this.send(entry, {type: 'resync', cell});
      return;
    }
    this.entries.onSeen(entry, event.sentAtMs);
    match(message)
      .with({type: 'leave'}, () => this.onEntryEnded(entry))
      .with({type: 'enqueue'}, m => this.enqueue(entry, m.announcement))
      .with({type: 'withdraw'}, m => this.onWithdraw(entry, m.requestId))
      .with({type: 'progress'}, m => this.onProgress(entry, m.grantId, m.cost))
      .with({type: 'finished'}, m => this.onFinished(entry, m))
      .exhaustive();
  }

  /** Replaces an entry's state by the one that it sent. */
  private onSync(
    entry: string,
    message: Extract<EntryMessage, {type: 'sync'}>
  ): void {
    this.clearEntry(entry);
    this.updateSlotOwners();
    for (const {customer, service} of message.marks) {
      this.counters.adopt(customer, service);
    }
    for (const held of message.held) {
      this.running.adopt(entry, held, this.nowMs);
    }
    for (const announcement of message.waiting) {
      this.enqueue(entry, announcement);
    }
  }

  private enqueue(entry: string, announcement: Announcement): void {
    const refusal = this.queue.admit(entry, announcement, this.nowMs);
    if (refusal === undefined) return;
    this.refuse(entry, announcement.requestId, refusal);
  }

  private onWithdraw(entry: string, requestId: string): void {
    const request = this.backlog.get(requestId);
    if (request?.entry === entry) this.backlog.remove(request);
  }

  private onProgress(entry: string, grantId: string, cost: number): void {
    const grant = this.grants.get(entry, grantId);
    if (grant === undefined || cost <= grant.charged) return;
    this.running.charge(grant, cost);
  }

  private onFinished(
    entry: string,
    message: Extract<EntryMessage, {type: 'finished'}>
  ): void {
    const grant = this.grants.get(entry, message.grantId);
    if (grant === undefined) return;
    this.running.end(grant);
    this.running.charge(grant, message.cost);
    const {fingerprint} = grant.request.announcement;
    match(message.outcome)
      .with('returned', () => this.queue.add(grant.request))
      .with('withdrawn', 'failed', () => {})
      .with('answered', () => {
        this.isolation.tracker.onCompleted(fingerprint, this.nowMs);
        this.slots.onResponse(grant.target, message.times);
      })
      .with('unreachable', () => this.slots.onLost(grant.target, this.nowMs))
      .with('target_lost', () => {
        this.slots.onLost(grant.target, this.nowMs);
        this.onTargetLost(fingerprint, grant.target);
      })
      .exhaustive();
  }

  /** Suspects every request on a lost target before its entry reports it. */
  private onTargetLost(fingerprint: string, target: string): void {
    const seenAtMs = this.options.wallMs();
    this.onLoss({fingerprint, target, seenAtMs});
    for (const {request} of this.grants.heldOn(target)) {
      const {fingerprint: otherFingerprint} = request.announcement;
      this.onLoss({fingerprint: otherFingerprint, target, seenAtMs});
    }
  }

  private onLoss(loss: TargetLoss): void {
    const {fingerprint} = loss;
    this.isolation.tracker.onLoss(loss, this.nowMs);
    if (!this.isolation.isQuarantined(fingerprint, this.nowMs)) return;
    for (const request of this.backlog.withFingerprint(fingerprint)) {
      this.backlog.remove(request);
      this.refuse(request.entry, request.announcement.requestId, {
        reason: 'quarantined',
        retryAfterMs: 0,
      });
    }
  }

  /** Keeps the slots counted as orphaned: the requests may still run. */
  private onEntrySilent(entry: string): void {
    if (!this.entries.onSilent(entry)) return;
    this.backlog.removeAllOfEntry(entry);
    this.running.orphanAllOf(entry);
    this.updateSlotOwners();
  }

  /** Removes an entry that has ended or has moved to another dispatcher. */
  private onEntryEnded(entry: string): void {
    this.clearEntry(entry);
    this.entries.remove(entry);
    this.updateSlotOwners();
  }

  /** Removes an entry's requests and releases its slots, orphaned ones too. */
  private clearEntry(entry: string): void {
    this.backlog.removeAllOfEntry(entry);
    this.running.endAllOf(entry);
  }

  private onRouters(routers: readonly string[]): void {
    this.routers = [...routers].sort();
    this.updateSlotOwners();
  }

  private updateSlotOwners(): void {
    this.slots.setRouters(this.routers, this.entries.syncedEntries());
  }

  private grantFreeSlots(): void {
    for (
      let selection = this.picker.next(this.nowMs);
      selection !== undefined;
      selection = this.picker.next(this.nowMs)
    ) {
      this.grant(selection.request, selection.target);
    }
    const chargesChanged = this.running.chargeCount !== this.chargeCountAtCheck;
    if (chargesChanged && !this.slots.hasFreeSlot(false, this.nowMs)) {
      this.checkFairness();
    }
  }

  /** Called while no slot is free: customers then usually wait for a slot. */
  private checkFairness(): void {
    this.chargeCountAtCheck = this.running.chargeCount;
    if (this.options.policy.order !== 'fair') return;
    this.monitor.check(this.backlog.customers);
  }

  private grant(request: QueuedRequest, target: string): void {
    const {customer, requestId} = request.announcement;
    this.queue.take(request, this.nowMs);
    const grant = this.running.start(request, target);
    this.send(request.entry, {
      type: 'grant',
      cell: this.options.cell,
      requestId,
      grantId: grant.grantId,
      target,
      echoMs: this.entries.lastSentAtMs(request.entry),
      leaseMs: this.options.leaseMs,
      service: this.counters.serviceOf(customer),
    });
  }

  private refuse(
    entry: string,
    requestId: string,
    {reason, retryAfterMs}: QueueRefusal
  ): void {
    const {cell} = this.options;
    this.send(entry, {type: 'refuse', cell, requestId, reason, retryAfterMs});
  }

  private send(entry: string, message: DispatcherMessage): void {
    this.commands.push({entry, message});
  }

  /** Evicts customers with no waiting request and no held slot. */
  private evictInactive(): void {
    const active = new Set(this.backlog.customers);
    for (const customer of this.grants.customers()) active.add(customer);
    for (const customer of this.counters.evictInactive(active)) {
      this.monitor.remove(customer);
    }
    this.queue.evictInactive(active);
  }
}
