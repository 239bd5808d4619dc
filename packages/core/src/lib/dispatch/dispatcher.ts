/**
 * The dispatcher of one cell: it sees every request that waits for the cell's
 * targets, from every entry, and grants free slots in fair order. Pure: events
 * in, messages out; the caller passes the time.
 */
import {match} from 'ts-pattern';
import {ServiceLedger} from '../fairness/service_ledger.js';
import {Backlog} from './backlog.js';
import {DrainRate} from './drain_rate.js';
import {FairnessMonitor} from './fairness_monitor.js';
import {GrantBook} from './grant_book.js';
import {Isolation} from './isolation.js';
import {RequestPicker} from './request_picker.js';
import {SlotTable} from './slot_table.js';

import type {Loss} from '../crash/crash_ledger.js';
import type {
  Announcement,
  DispatcherMessage,
  DispatchRefusal,
  EntryMessage,
  QueuedRequest,
  QueueRules,
  TargetView,
} from './dispatch_types.js';
import type {Grant} from './grant_book.js';
import type {Policy} from './policy.js';
import type {SlotSettings} from './slot_table.js';

/** Looks up the rules for a customer's class. @public */
export type RulesLookup = (customer: string, className: string) => QueueRules;

/** What happens to a dispatcher. @public */
export type DispatchEvent =
  | {
      readonly type: 'entry_message';
      readonly entry: string;
      /** The entry's own monotonic clock when it sent the message. */
      readonly sentAtMs: number;
      readonly message: EntryMessage;
    }
  | {
      readonly type: 'entry_seen';
      readonly entry: string;
      readonly sentAtMs: number;
    }
  | {readonly type: 'entry_silent'; readonly entry: string}
  | {readonly type: 'entry_ended'; readonly entry: string}
  | {readonly type: 'routers'; readonly routers: readonly string[]}
  | {readonly type: 'targets'; readonly targets: readonly TargetView[]}
  | {readonly type: 'settings'; readonly slots: SlotSettings}
  | {readonly type: 'loss'; readonly loss: Loss}
  | {readonly type: 'tick'};

/** A message for one entry. @public */
export interface DispatchCommand {
  readonly entry: string;
  readonly message: DispatcherMessage;
}

/** What a dispatcher is made from. @public */
export interface DispatcherOptions {
  readonly cell: string;
  /** Distinguishes this dispatcher's grants from those of earlier lives. */
  readonly incarnation: string;
  readonly policy: Policy;
  readonly slots: SlotSettings;
  readonly rulesOf: RulesLookup;
  readonly leaseMs: number;
}

/** Figures of a dispatcher, for metrics and the status page. @public */
export interface DispatcherStats {
  readonly queued: number;
  readonly held: number;
  readonly ghosts: number;
  readonly usableSlots: number;
  readonly fairnessGap: number;
  readonly fairnessBound: number;
  readonly fairnessViolations: number;
  readonly overLimit: number;
}

interface EntryRecord {
  synced: boolean;
  lastSentAtMs: number;
}

/** @public */
export class Dispatcher {
  private readonly ledger = ServiceLedger.create();
  private readonly monitor = FairnessMonitor.create(this.ledger);
  private readonly backlog = Backlog.create();
  private readonly isolation = Isolation.create();
  private readonly entries = new Map<string, EntryRecord>();
  private readonly drainRates = new Map<string, DrainRate>();
  private readonly slots: SlotTable;
  private readonly grants: GrantBook;
  private readonly picker: RequestPicker;
  private routers: readonly string[] = [];
  private commands: DispatchCommand[] = [];
  private nowMs = 0;
  private overLimit = 0;
  /** Whether any counter moved since fairness was last checked. */
  private charged = false;

  private constructor(private readonly options: DispatcherOptions) {
    this.slots = SlotTable.create(options.slots);
    this.grants = GrantBook.create(options.incarnation);
    this.picker = RequestPicker.create({
      policy: options.policy,
      backlog: this.backlog,
      ledger: this.ledger,
      slots: this.slots,
      isolation: this.isolation,
      monitor: this.monitor,
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
      overLimit: this.overLimit,
    };
  }

  /** Requests of one customer that wait here. */
  queued(customer: string): number {
    return this.backlog.queued(customer);
  }

  /** Handles one event and returns the messages that follow from it. */
  handle(event: DispatchEvent, nowMs: number): DispatchCommand[] {
    this.nowMs = nowMs;
    this.commands = [];
    match(event)
      .with({type: 'entry_message'}, e => this.onMessage(e))
      .with({type: 'entry_seen'}, e => this.onSeen(e.entry, e.sentAtMs))
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
      this.entryRecord(entry).synced = true;
      this.onSeen(entry, event.sentAtMs);
      this.onSync(entry, message);
      return;
    }
    if (!this.entries.get(entry)?.synced) return;
    this.onSeen(entry, event.sentAtMs);
    match(message)
      .with({type: 'leave'}, () => this.onEnded(entry))
      .with({type: 'enqueue'}, m => this.enqueue(entry, m.announcement))
      .with({type: 'withdraw'}, m => this.onWithdraw(entry, m.requestId))
      .with({type: 'progress'}, m => this.onProgress(entry, m.grantId, m.cost))
      .with({type: 'finished'}, m => this.onFinished(entry, m))
      .exhaustive();
  }

  private onSeen(entry: string, sentAtMs: number): void {
    const record = this.entries.get(entry);
    if (record === undefined) return;
    record.lastSentAtMs = Math.max(record.lastSentAtMs, sentAtMs);
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
      this.started(grant);
    }
    for (const announcement of message.waiting) {
      this.enqueue(entry, announcement);
    }
  }

  private enqueue(entry: string, announcement: Announcement): void {
    const {customer, className, requestId, fingerprint} = announcement;
    if (this.backlog.get(requestId) !== undefined) return;
    const rules = this.options.rulesOf(customer, className);
    this.ledger.setShare(customer, rules.share);
    this.monitor.onShare(customer, rules.share);
    if (this.isolation.ledger.standingOf(fingerprint) === 'quarantined') {
      return this.refuse(entry, requestId, 'quarantined', 0);
    }
    const queued = this.backlog.queued(customer);
    if (queued >= rules.maxQueued) {
      const retryAfterMs = this.drainRateOf(customer).retryAfterMs(queued);
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
    this.charge(grant, cost);
  }

  private onFinished(
    entry: string,
    message: Extract<EntryMessage, {type: 'finished'}>
  ): void {
    const grant = this.grants.held(entry, message.grantId);
    if (grant === undefined) return;
    this.stopped(grant);
    this.grants.end(grant);
    this.slots.giveBack(grant.target);
    this.charge(grant, message.cost);
    const {fingerprint} = grant.request.announcement;
    match(message.end)
      .with('returned', () => this.addToBacklog(grant.request))
      .with('withdrawn', 'failed', () => {})
      .with('answered', () => {
        this.isolation.ledger.onAnswered(fingerprint);
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
    this.onLoss({fingerprint, target});
    for (const {request} of this.grants.heldOn(target)) {
      this.onLoss({fingerprint: request.announcement.fingerprint, target});
    }
  }

  private onLoss(loss: Loss): void {
    const {fingerprint} = loss;
    this.isolation.ledger.onLoss(loss, this.nowMs);
    if (this.isolation.ledger.standingOf(fingerprint) !== 'quarantined') return;
    for (const customer of [...this.backlog.customers]) {
      for (const request of [...this.backlog.inOrder(customer, this.nowMs)]) {
        if (request.announcement.fingerprint !== fingerprint) continue;
        this.backlog.remove(request);
        const {requestId} = request.announcement;
        this.refuse(request.entry, requestId, 'quarantined', 0);
      }
    }
  }

  /** A silent entry's slots may still be running, so they stay counted. */
  private onSilent(entry: string): void {
    const record = this.entries.get(entry);
    if (record === undefined || !record.synced) return;
    record.synced = false;
    for (const request of this.backlog.of(entry)) {
      this.backlog.remove(request);
    }
    for (const grant of this.grants.heldBy(entry)) {
      this.stopped(grant);
      this.grants.toGhost(grant);
      this.slots.toGhost(grant.target);
    }
    this.updateSlotOwners();
  }

  /** The entry's process is over, or it left with nothing behind. */
  private onEnded(entry: string): void {
    this.clearEntry(entry);
    this.entries.delete(entry);
    this.updateSlotOwners();
  }

  private clearEntry(entry: string): void {
    for (const request of this.backlog.of(entry)) {
      this.backlog.remove(request);
    }
    for (const grant of this.grants.heldBy(entry)) {
      this.stopped(grant);
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
    const synced = new Set<string>();
    for (const [entry, record] of this.entries) {
      if (record.synced) synced.add(entry);
    }
    this.slots.setRouters(this.routers, synced);
  }

  private grantFreeSlots(): void {
    for (
      let pick = this.picker.next(this.nowMs);
      pick !== undefined;
      pick = this.picker.next(this.nowMs)
    ) {
      this.grant(pick.request, pick.target);
    }
    if (this.charged && !this.slots.anyFree(false, this.nowMs)) {
      this.checkFairness();
    }
  }

  /** With every slot in use, all that wait could run as well as another. */
  private checkFairness(): void {
    this.charged = false;
    if (this.options.policy.order !== 'fair') return;
    this.monitor.check(this.backlog.customers);
  }

  private grant(request: QueuedRequest, target: string): void {
    const {customer, requestId, estimate} = request.announcement;
    this.ledger.reachLevel(customer);
    this.backlog.remove(request);
    const grant = this.grants.open(request, target);
    this.started(grant);
    this.charge(grant, estimate);
    this.drainRateOf(customer).onGrant(this.nowMs);
    this.send(request.entry, {
      type: 'grant',
      cell: this.options.cell,
      requestId,
      grantId: grant.grantId,
      target,
      echoMs: this.entries.get(request.entry)?.lastSentAtMs ?? 0,
      leaseMs: this.options.leaseMs,
      service: this.ledger.serviceOf(customer),
    });
  }

  private started(grant: Grant): void {
    const {customer, fingerprint} = grant.request.announcement;
    this.slots.take(grant.target);
    if (this.slots.inFlight(grant.target) > this.slots.ceiling(grant.target)) {
      this.overLimit += 1;
    }
    this.isolation.onStart(fingerprint, grant.target);
    this.monitor.onStart(customer);
  }

  private stopped(grant: Grant): void {
    const {customer, fingerprint} = grant.request.announcement;
    this.isolation.onStop(fingerprint, grant.target);
    this.monitor.onStop(customer);
  }

  private charge(grant: Grant, cost: number): void {
    this.monitor.onCost(cost);
    const {customer} = grant.request.announcement;
    this.ledger.charge(customer, cost - grant.charged);
    grant.charged = cost;
    this.charged = true;
  }

  private refuse(
    entry: string,
    requestId: string,
    reason: DispatchRefusal,
    retryAfterMs: number
  ): void {
    const {cell} = this.options;
    this.send(entry, {type: 'refuse', cell, requestId, reason, retryAfterMs});
  }

  private send(entry: string, message: DispatcherMessage): void {
    this.commands.push({entry, message});
  }

  private entryRecord(entry: string): EntryRecord {
    let record = this.entries.get(entry);
    if (record === undefined) {
      record = {synced: false, lastSentAtMs: -Infinity};
      this.entries.set(entry, record);
    }
    return record;
  }

  private drainRateOf(customer: string): DrainRate {
    let rate = this.drainRates.get(customer);
    if (rate === undefined) {
      rate = DrainRate.create();
      this.drainRates.set(customer, rate);
    }
    return rate;
  }

  private forgetIdle(): void {
    const active = new Set(this.backlog.customers);
    for (const customer of this.grants.customers()) active.add(customer);
    for (const customer of this.ledger.forgetAllBut(active)) {
      this.monitor.forget(customer);
    }
    for (const customer of this.drainRates.keys()) {
      if (!active.has(customer)) this.drainRates.delete(customer);
    }
  }
}
