import assert from 'node:assert/strict';
import {Dispatcher} from '../dispatcher.js';
import {DispatcherClient} from '../dispatcher_client.js';
import {POLICIES} from '../policy.js';
import {
  INSTANCES,
  LEASE_MS,
  MAX_EJECTION_MS,
  rulesOf,
  SHORT_CALL_SLOTS,
  SLOTS,
  TARGETS,
} from './fleet_settings.js';
import {SimulatedNetwork} from './simulated_network.js';
import {SuspectRecord} from './suspect_record.js';

import type {DispatchCommand, DispatchEvent} from '../dispatch_events.js';
import type {Announcement, SlotOutcome} from '../dispatch_types.js';
import type {
  DispatcherClientCommand,
  DispatcherClientEvent,
} from '../dispatcher_client.js';
import type {Step} from './fleet_steps.js';

/** A request that really runs on a target. */
interface RunningRequest {
  readonly entry: string;
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
}

/**
 * Simulates entries and dispatchers that exchange messages over an unreliable
 * network, and checks them against a record of the requests that really run
 * on each target.
 */
export class SimulatedFleet {
  nowMs = 0;
  /** Whether several dispatchers may grant the same slots. */
  withFaults = false;
  /** Difference between each entry's clock and the dispatchers' clock. */
  readonly clockSkewMs = new Map(INSTANCES.map((id, i) => [id, i * 12345]));
  readonly entries = new Map<string, DispatcherClient>();
  readonly dispatchers = new Map<string, Dispatcher>();
  private readonly network = SimulatedNetwork.create();
  private readonly suspects = SuspectRecord.create();
  /** By grant id. */
  readonly running = new Map<string, RunningRequest>();
  /** Requests not started, refused or cancelled yet, with their entries. */
  readonly open = new Map<string, string>();
  /** All requests so far, by id. */
  readonly submitted = new Map<string, Announcement>();
  readonly leaving = new Set<string>();
  private sequence = 0;
  private incarnations = 0;

  constructor() {
    for (const id of INSTANCES) this.start(id);
    for (const entry of INSTANCES) this.setDispatcher(entry, 'a', false);
  }

  /** Starts an instance with no state. */
  start(id: string): void {
    this.incarnations += 1;
    this.entries.set(id, DispatcherClient.create('cell'));
    const dispatcher = Dispatcher.create({
      cell: 'cell',
      incarnation: `${id}${this.incarnations}`,
      policy: POLICIES.dispatched,
      slots: {
        limits: {
          startSlots: SLOTS,
          maxSlots: SLOTS,
          firstTokenTargetMs: 1e9,
          betweenTokensTargetMs: 1e9,
        },
        shortCallSlots: SHORT_CALL_SLOTS,
      },
      rulesOf,
      leaseMs: LEASE_MS,
      wallMs: () => this.nowMs,
    });
    this.dispatchers.set(id, dispatcher);
    dispatcher.handle({type: 'routers', routers: INSTANCES}, this.nowMs);
    this.publishTargets();
  }

  publishTargets(): void {
    const targets = TARGETS.map(id => ({id, leaving: this.leaving.has(id)}));
    for (const id of this.dispatchers.keys()) {
      this.handleDispatchEvent(id, {type: 'targets', targets});
    }
  }

  clockOf(entry: string): number {
    return this.nowMs + (this.clockSkewMs.get(entry) ?? 0);
  }

  handleEntryEvent(entry: string, event: DispatcherClientEvent): void {
    const client = this.entries.get(entry)!;
    for (const command of client.handle(event, this.clockOf(entry))) {
      this.onEntryCommand(entry, command);
    }
  }

  handleDispatchEvent(id: string, event: DispatchEvent): void {
    const dispatcher = this.dispatchers.get(id)!;
    for (const command of dispatcher.handle(event, this.nowMs)) {
      this.onDispatchCommand(id, command);
    }
    assert.equal(dispatcher.stats.fairnessViolations, 0, 'fairness bound');
  }

  onEntryCommand(entry: string, command: DispatcherClientCommand): void {
    if (command.type === 'send') {
      const {peer, session} = command.dispatcher;
      this.network.send({
        from: entry,
        to: peer,
        session,
        sentAtMs: this.clockOf(entry),
        receiver: 'dispatcher',
        message: command.message,
      });
    } else if (command.type === 'refused') {
      assert.ok(
        this.open.delete(command.requestId),
        'refused request not open'
      );
    } else {
      const {requestId, grantId, target, expiresAtMs} = command;
      assert.ok(this.open.delete(requestId), 'started request not open');
      assert.ok(this.clockOf(entry) <= expiresAtMs, 'started after its lease');
      const announcement = this.submitted.get(requestId)!;
      this.running.set(grantId, {entry, grantId, target, announcement});
    }
  }

  onDispatchCommand(id: string, {entry, message}: DispatchCommand): void {
    if (message.type === 'grant') {
      assert.ok(!this.leaving.has(message.target), 'granted target is leaving');
      this.suspects.onGrant(message);
    }
    this.network.send({
      from: id,
      to: entry,
      session: this.network.sessionOf(id, entry),
      sentAtMs: this.nowMs,
      receiver: 'entry',
      message,
    });
  }

  setDispatcher(entry: string, peer: string, notifyPrevious: boolean): void {
    const dispatcher = {peer, session: this.network.sessionOf(entry, peer)};
    this.handleEntryEvent(entry, {
      type: 'set_dispatcher',
      dispatcher,
      notifyPrevious,
    });
  }

  /** Replaces the link between two instances by a new one. */
  breakLink(a: string, b: string): void {
    if (a === b) return;
    this.network.replaceLink(a, b);
    this.handleDispatchEvent(a, {type: 'entry_silent', entry: b});
    this.handleDispatchEvent(b, {type: 'entry_silent', entry: a});
    for (const [entry, other] of [
      [a, b],
      [b, a],
    ] as const) {
      if (this.entries.get(entry)?.currentDispatcher?.peer === other) {
        this.setDispatcher(entry, other, false);
      }
    }
  }

  /** Delivers the first message of one channel; false if there is none. */
  deliver(pick: number): boolean {
    const envelope = this.network.receive(pick);
    if (envelope === undefined) return false;
    const {from, to, session, sentAtMs} = envelope;
    if (envelope.receiver === 'dispatcher') {
      this.suspects.onEntryMessage(envelope.message);
      this.handleDispatchEvent(to, {
        type: 'entry_message',
        entry: from,
        sentAtMs,
        message: envelope.message,
      });
    } else {
      this.handleEntryEvent(to, {
        type: 'dispatcher_message',
        dispatcher: {peer: from, session},
        message: envelope.message,
      });
    }
    return true;
  }

  submit(s: Extract<Step, {type: 'submit'}>): void {
    this.sequence += 1;
    const requestId = `r${this.sequence}`;
    const announcement: Announcement = {
      requestId,
      customer: s.customer,
      className: s.className,
      estimate: s.estimate,
      fingerprint: requestId,
      affinity: 0,
      avoid: [],
      waitedMs: 0,
    };
    const entry = INSTANCES[s.entry]!;
    this.submitted.set(requestId, announcement);
    this.open.set(requestId, entry);
    this.handleEntryEvent(entry, {type: 'submit', announcement});
  }

  /** Ends one running request; false if none is running. */
  finish(pick: number, cost: number, outcome: SlotOutcome): boolean {
    const all = [...this.running.values()];
    const job = all[pick % Math.max(1, all.length)];
    if (job === undefined) return false;
    this.running.delete(job.grantId);
    const {grantId} = job;
    this.handleEntryEvent(job.entry, {type: 'finish', grantId, outcome, cost});
    return true;
  }

  /**
   * Restarts an instance. Its running requests end with the process, which
   * closes their connections.
   */
  crash(id: string): void {
    for (const [grantId, job] of this.running) {
      if (job.entry === id) this.running.delete(grantId);
    }
    for (const [requestId, entry] of this.open) {
      if (entry === id) this.open.delete(requestId);
    }
    this.start(id);
    this.network.dropMessagesOf(id);
    for (const other of INSTANCES) this.breakLink(id, other);
    for (const other of INSTANCES) {
      if (other !== id)
        this.handleDispatchEvent(other, {type: 'entry_ended', entry: id});
    }
    this.setDispatcher(id, id, false);
  }

  runningOn(target: string): number {
    return [...this.running.values()].filter(j => j.target === target).length;
  }

  /** Ends all faults and lets every request finish. */
  settle(): void {
    this.leaving.clear();
    for (const entry of INSTANCES) this.setDispatcher(entry, 'a', true);
    while (this.deliver(0)) this.checkLimits();
    this.nowMs += MAX_EJECTION_MS;
    this.publishTargets();
    for (let round = 0; round < 10_000; round++) {
      this.nowMs += 10;
      for (const entry of INSTANCES) {
        const sentAtMs = this.clockOf(entry);
        this.handleDispatchEvent('a', {type: 'entry_seen', entry, sentAtMs});
      }
      while (this.deliver(0)) this.checkLimits();
      if (round > 1) this.checkNoIdleSlot();
      if (!this.finish(0, 10, 'answered') && this.open.size === 0) return;
      while (this.deliver(0)) this.checkLimits();
    }
  }

  /** Checks the number of running requests against the limit of each target. */
  checkLimits(): void {
    for (const target of TARGETS) {
      const maxRunning = SLOTS + SHORT_CALL_SLOTS;
      assert.ok(
        this.runningOn(target) <= maxRunning * this.maxDispatchers(),
        'target over its limit'
      );
    }
  }

  /** The most dispatchers that may have granted the same slots. */
  maxDispatchers(): number {
    return this.withFaults ? INSTANCES.length : 1;
  }

  /** Checks that requests wait only while the slots of all targets are held. */
  checkNoIdleSlot(): void {
    const {held} = this.dispatchers.get('a')!.stats;
    const runnable = [...this.open.keys()].filter(
      requestId => !this.suspects.isSuspect(requestId)
    );
    if (runnable.length === 0) return;
    assert.ok(
      held >= SLOTS * TARGETS.length,
      'slot free while a request could run'
    );
  }
}
