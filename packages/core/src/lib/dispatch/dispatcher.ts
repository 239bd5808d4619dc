/**
 * The dispatcher of one cell: it sees every request that waits for the cell's
 * targets, from every entry, and grants free slots in fair order. Pure: events
 * in, messages out; the caller passes the time.
 */
import {match} from 'ts-pattern';
import {ServiceCounters} from '../fairness/service_counters.js';
import {Backlog} from './backlog.js';
import {DrainRates} from './drain_rates.js';
import {EntryRoster} from './entry_roster.js';
import {FairnessMonitor} from './fairness_monitor.js';
import {GrantBook} from './grant_book.js';
import {Isolation} from './isolation.js';
import {RequestPicker} from './request_picker.js';
import {RunningWork} from './running_work.js';
import {SlotTable} from './slot_table.js';

import type {TargetLoss} from '../crash/crash_tracker.js';
import type {
  DispatchCommand,
  DispatcherOptions,
  DispatcherStats,
  DispatchEvent,
} from './dispatch_events.js';
import type {
  Announcement,
  DispatcherMessage,
  DispatchRefusalReason,
  EntryMessage,
  QueuedRequest,
} from './dispatch_types.js';

/** @public */
export class Dispatcher {
  private readonly ledger = ServiceCounters.create();
  private readonly monitor = FairnessMonitor.create(this.ledger);
  private readonly backlog = Backlog.create();
  private readonly isolation = Isolation.create();
  private readonly entries = EntryRoster.create();
  private readonly drainRates = DrainRates.create();
  private readonly slots: SlotTable;
  private readonly grants: GrantBook;
  private readonly running: RunningWork;
  private readonly picker: RequestPicker;
  private routers: readonly string[] = [];
  private commands: DispatchCommand[] = [];
  private nowMs = 0;
  /** The charges at which fairness was last checked. */
  private checkedCharges = 0;

  private constructor(private readonly options: DispatcherOptions) {
    this.slots = SlotTable.create(options.slots);
    this.grants = GrantBook.create(options.incarnation);
    const {slots, isolation, monitor, ledger} = this;
    this.running = RunningWork.create({slots, isolation, monitor, ledger});
    this.picker = RequestPicker.create({
      policy: options.policy,
      backlog: this.backlog,
      ledger,
      slots,
      isolation,
      monitor,
    });
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  get stats(): DispatcherStats {
    const {gap, bound} = this.monitor.worstReading;
    return {
      queued: this.backlog.size,
      held: this.grants.heldCount,
      ghosts: this.grants.ghostCount,
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
      .with({type: 'entry_message'}, e => this.onMessage(e))
      .with({type: 'entry_seen'}, e => this.entries.onSeen(e.entry, e.sentAtMs))
      .with({type: 'entry_silent'}, e => this.onSilent(e.entry))
      .with({type: 'entry_ended'}, e => this.onEnded(e.entry))
      .with({type: 'routers'}, e => this.onRouters(e.routers))
      .with({type: 'targets'}, e => this.slots.setTargets(e.targets))
      .with({type: 'settings'}, e => this.slots.setSettings(e.slots))
      .with({type: 'loss'}, e => this.onLoss(e.loss))
      .with({type: 'tick'}, () => this.forgetIdle())
      .exhaustive();
    this.grantFreeSlots();
    return this.commands;
  }

  private onMessage(event: {
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
      .with({type: 'leave'}, () => this.onEnded(entry))
      .with({type: 'enqueue'}, m => this.enqueue(entry, m.announcement))
      .with({type: 'withdraw'}, m => this.onWithdraw(entry, m.requestId))
      .with({type: 'progress'}, m => this.onProgress(entry, m.grantId, m.cost))
      .with({type: 'finished'}, m => this.onFinished(entry, m))
      .exhaustive();
  }

  /** Replaces all that was known of an entry by what it says now. */
  private onSync(
    entry: string,
    message: Extract<EntryMessage, {type: 'sync'}>
  ): void {
    this.clearEntry(entry);
    this.updateSlotOwners();
    for (const {customer, service} of message.marks) {
      this.ledger.adopt(customer, service);
    }
    for (const held of message.held) {
      const grant = this.grants.adopt(entry, held, this.nowMs);
      this.monitor.onCost(held.charged);
      this.running.start(grant);
    }
    for (const announcement of message.waiting) {
      this.enqueue(entry, announcement);
    }
  }

  private enqueue(entry: string, announcement: Announcement): void {
    const {customer, className, requestId, fingerprint} = announcement;
    if (this.backlog.get(requestId) !== undefined) return;
    const rules = this.options.rulesOf(customer, className);
    this.setShare(customer, rules.share);
    if (this.isolation.ledger.statusOf(fingerprint) === 'quarantined') {
      return this.refuse(entry, requestId, 'quarantined', 0);
    }
    const queued = this.backlog.queued(customer);
    if (queued >= rules.maxQueued) {
      const retryAfterMs = this.drainRates.retryAfterMs(customer, queued);
      return this.refuse(entry, requestId, 'queue_full', retryAfterMs);
    }
    this.addToBacklog({
      entry,
      announcement,
      priority: this.options.policy.order === 'fair' ? rules.priority : 0,
      short: rules.short,
      maxWaitMs: rules.maxWaitMs,
      queuedAtMs: this.nowMs - announcement.waitedMs,
    });
  }

  /** A share that the configuration changed counts from the next charge. */
  private setShare(customer: string, share: number): void {
    this.ledger.setShare(customer, share);
    this.monitor.onShare(customer, share);
  }

  private addToBacklog(request: QueuedRequest): void {
    if (!this.backlog.add(request)) return;
    const {customer} = request.announcement;
    this.ledger.lift(customer, this.backlog.customers);
  }

  private onWithdraw(entry: string, requestId: string): void {
    const request = this.backlog.get(requestId);
    if (request?.entry === entry) this.backlog.remove(request);
  }

  private onProgress(entry: string, grantId: string, cost: number): void {
    const grant = this.grants.held(entry, grantId);
    if (grant === undefined || cost <= grant.charged) return;
    this.running.charge(grant, cost);
  }

  private onFinished(
    entry: string,
    message: Extract<EntryMessage, {type: 'finished'}>
  ): void {
    const grant = this.grants.held(entry, message.grantId);
    if (grant === undefined) return;
    this.running.stop(grant);
    this.grants.end(grant);
    this.slots.giveBack(grant.target);
    this.running.charge(grant, message.cost);
    const {fingerprint} = grant.request.announcement;
    match(message.outcome)
      .with('returned', () => this.addToBacklog(grant.request))
      .with('withdrawn', 'failed', () => {})
      .with('answered', () => {
        this.isolation.ledger.onCompleted(fingerprint);
        this.slots.onAnswer(grant.target, message.times);
      })
      .with('unreachable', () => this.slots.onLost(grant.target, this.nowMs))
      .with('target_lost', () => {
        this.slots.onLost(grant.target, this.nowMs);
        this.onTargetLost(fingerprint, grant.target);
      })
      .exhaustive();
  }

  /** All that ran there is suspected at once, before its entries say so. */
  private onTargetLost(fingerprint: string, target: string): void {
    const seenAtMs = this.options.wallMs();
    this.onLoss({fingerprint, target, seenAtMs});
    for (const {request} of this.grants.heldOn(target)) {
      const {fingerprint: beside} = request.announcement;
      this.onLoss({fingerprint: beside, target, seenAtMs});
    }
  }

  private onLoss(loss: TargetLoss): void {
    const {fingerprint} = loss;
    this.isolation.ledger.onLoss(loss, this.nowMs);
    if (this.isolation.ledger.statusOf(fingerprint) !== 'quarantined') return;
    for (const request of this.backlog.equalTo(fingerprint)) {
      this.backlog.remove(request);
      const {requestId} = request.announcement;
      this.refuse(request.entry, requestId, 'quarantined', 0);
    }
  }

  /** A silent entry's slots may still be running, so they stay counted. */
  private onSilent(entry: string): void {
    if (!this.entries.onSilent(entry)) return;
    this.backlog.removeAllOf(entry);
    for (const grant of this.grants.heldBy(entry)) {
      this.running.stop(grant);
      this.grants.toGhost(grant);
      this.slots.toGhost(grant.target);
    }
    this.updateSlotOwners();
  }

  /** The entry's process is over, or it left with nothing behind. */
  private onEnded(entry: string): void {
    this.clearEntry(entry);
    this.entries.forget(entry);
    this.updateSlotOwners();
  }

  private clearEntry(entry: string): void {
    this.backlog.removeAllOf(entry);
    for (const grant of this.grants.heldBy(entry)) {
      this.running.stop(grant);
      this.grants.end(grant);
      this.slots.giveBack(grant.target);
    }
    for (const grant of this.grants.ghostsOf(entry)) {
      this.grants.dropGhost(grant);
      this.slots.dropGhost(grant.target);
    }
  }

  private onRouters(routers: readonly string[]): void {
    this.routers = [...routers].sort();
    this.updateSlotOwners();
  }

  private updateSlotOwners(): void {
    this.slots.setRouters(this.routers, this.entries.synced());
  }

  private grantFreeSlots(): void {
    for (
      let pick = this.picker.next(this.nowMs);
      pick !== undefined;
      pick = this.picker.next(this.nowMs)
    ) {
      this.grant(pick.request, pick.target);
    }
    const moved = this.running.chargeCount !== this.checkedCharges;
    if (moved && !this.slots.anyFree(false, this.nowMs)) {
      this.checkFairness();
    }
  }

  /** With every slot in use, all that wait could run as well as another. */
  private checkFairness(): void {
    this.checkedCharges = this.running.chargeCount;
    if (this.options.policy.order !== 'fair') return;
    this.monitor.check(this.backlog.customers);
  }

  private grant(request: QueuedRequest, target: string): void {
    const {customer, className, requestId, estimate} = request.announcement;
    this.setShare(customer, this.options.rulesOf(customer, className).share);
    this.ledger.advanceVirtualTime(customer);
    this.backlog.remove(request);
    const grant = this.grants.open(request, target);
    this.running.start(grant);
    this.running.charge(grant, estimate);
    this.drainRates.onGrant(customer, this.nowMs);
    this.send(request.entry, {
      type: 'grant',
      cell: this.options.cell,
      requestId,
      grantId: grant.grantId,
      target,
      echoMs: this.entries.lastSentAtMs(request.entry),
      leaseMs: this.options.leaseMs,
      service: this.ledger.serviceOf(customer),
    });
  }

  private refuse(
    entry: string,
    requestId: string,
    reason: DispatchRefusalReason,
    retryAfterMs: number
  ): void {
    const {cell} = this.options;
    this.send(entry, {type: 'refuse', cell, requestId, reason, retryAfterMs});
  }

  private send(entry: string, message: DispatcherMessage): void {
    this.commands.push({entry, message});
  }

  private forgetIdle(): void {
    const active = new Set(this.backlog.customers);
    for (const customer of this.grants.customers()) active.add(customer);
    for (const customer of this.ledger.evictInactive(active)) {
      this.monitor.forget(customer);
    }
    this.drainRates.forgetAllBut(active);
  }
}
