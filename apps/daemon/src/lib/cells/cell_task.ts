import {Dispatcher, DispatcherClient, POLICIES} from '@applebend/core';
import {Mailbox} from '@applebend/utils';
import {dispatcherOf, slotSharers} from './fleet_view.js';
import {SlotWaiters} from './slot_waiters.js';

import type {
  Announcement,
  DispatchCommand,
  DispatcherEndpoint,
  DispatcherMessage,
  DispatcherStats,
  DispatchEvent,
  DispatcherClientCommand,
  DispatcherClientEvent,
  EntryMessage,
  TargetLoss,
  Policy,
  PolicyName,
  RulesLookup,
  SlotOutcome,
  SlotSettings,
  TokenTimes,
} from '@applebend/core';
import type {BusyMeter, Clock} from '@applebend/utils';
import type {PeerMesh} from '../peers/peer_mesh.js';
import type {FleetView} from './fleet_view.js';
import type {Acquisition} from './slot_waiters.js';

/** What is reported when a slot is released. @public */
export interface SlotResult {
  readonly outcome: SlotOutcome;
  /** Weighted tokens that the request used. */
  readonly cost: number;
  readonly times?: TokenTimes | undefined;
}

/** @public */
export interface CellTaskOptions {
  readonly cell: string;
  readonly instance: string;
  readonly incarnation: string;
  readonly policy: PolicyName;
  /** Lease of a grant, from the entry's last message before it. */
  readonly leaseMs: number;
  readonly slots: SlotSettings;
  readonly rulesOf: RulesLookup;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly busyMeter: BusyMeter;
}

type CellEvent =
  | {readonly type: 'entry'; readonly event: DispatcherClientEvent}
  | {readonly type: 'dispatch'; readonly event: DispatchEvent};

/** Session of messages within this instance; links count from 1. */
const LOCAL_SESSION = 0;

/**
 * One service's cell on this instance. It has two roles: the client that
 * obtains slots for the entry's requests, and the dispatcher, which is in use
 * while this instance is the one selected for the cell.
 *
 * @public
 */
export class CellTask {
  private readonly client: DispatcherClient;
  private readonly dispatcher: Dispatcher;
  private readonly mailbox: Mailbox<CellEvent>;
  private readonly policy: Policy;
  private readonly waiters = SlotWaiters.create();
  /** Entries that have synced with the dispatcher here. */
  private readonly knownEntries = new Set<string>();

  private constructor(private readonly options: CellTaskOptions) {
    const {cell, incarnation, policy, slots, rulesOf, leaseMs} = options;
    this.policy = POLICIES[policy];
    this.client = DispatcherClient.create(cell);
    this.dispatcher = Dispatcher.create({
      cell,
      incarnation,
      policy: this.policy,
      slots,
      rulesOf,
      leaseMs,
      wallMs: () => options.clock.wallMs(),
    });
    this.mailbox = Mailbox.create(event =>
      options.busyMeter.measure(() => this.handle(event))
    );
  }

  static create(options: CellTaskOptions): CellTask {
    return new CellTask(options);
  }

  get stats(): DispatcherStats {
    return this.dispatcher.stats;
  }

  get waitingCount(): number {
    return this.client.waitingCount;
  }

  get heldCount(): number {
    return this.client.heldCount;
  }

  get staleGrants(): number {
    return this.client.staleMessages;
  }

  /** Id of the instance that dispatches this cell, as far as known here. */
  get dispatcherId(): string | undefined {
    return this.client.currentDispatcher?.peer;
  }

  /** Waits for a slot; an abort removes the request from the queue. */
  async acquire(
    announcement: Announcement,
    signal: AbortSignal
  ): Promise<Acquisition> {
    if (signal.aborted) return {type: 'cancelled'};
    const {requestId} = announcement;
    const acquired = this.waiters.wait(requestId, signal, () =>
      this.postToClient({type: 'cancel', requestId})
    );
    this.postToClient({type: 'submit', announcement});
    return acquired;
  }

  /** Reports the weighted tokens that a running request has used so far. */
  progress(grantId: string, cost: number): void {
    if (!this.client.isProgressDue(grantId, cost)) return;
    this.postToClient({type: 'progress', grantId, cost});
  }

  finish(grantId: string, use: SlotResult): void {
    this.postToClient({type: 'finish', grantId, ...use});
  }

  setSlots(slots: SlotSettings): void {
    this.postToDispatcher({type: 'settings', slots});
  }

  /** Stands in for the local entry's heartbeats, from which leases count. */
  heartbeatOwnEntry(): void {
    this.onPeerSeen(this.options.instance, this.options.clock.monotonicMs());
  }

  /** Applies a new view of the fleet. */
  onFleet(view: FleetView): void {
    this.postToDispatcher({type: 'targets', targets: view.targets});
    const {scope} = this.policy;
    const routers = slotSharers(view, scope, this.options.instance);
    this.postToDispatcher({type: 'routers', routers});
    this.updateLostEntries(view);
    this.selectDispatcher(view);
  }

  /** The link is lost; requests of the peer may still be running. */
  onPeerDown(peer: string): void {
    this.postToDispatcher({type: 'entry_silent', entry: peer});
  }

  /** The peer's process has ended, and its requests with it. */
  onPeerEnded(peer: string): void {
    this.knownEntries.delete(peer);
    this.postToDispatcher({type: 'entry_ended', entry: peer});
  }

  onPeerSeen(peer: string, sentAtMs: number): void {
    this.postToDispatcher({type: 'entry_seen', entry: peer, sentAtMs});
  }

  /** Handles a message to the local dispatcher. */
  onEntryMessage(peer: string, sentAtMs: number, message: EntryMessage): void {
    if (message.type === 'sync') this.knownEntries.add(peer);
    this.postToDispatcher({
      type: 'entry_message',
      entry: peer,
      sentAtMs,
      message,
    });
  }

  /** Handles a message to the local client. */
  onDispatcherMessage(
    dispatcher: DispatcherEndpoint,
    message: DispatcherMessage
  ): void {
    this.postToClient({type: 'dispatcher_message', dispatcher, message});
  }

  onLoss(loss: TargetLoss): void {
    this.postToDispatcher({type: 'loss', loss});
  }

  tick(): void {
    this.postToDispatcher({type: 'tick'});
  }

  private updateLostEntries(view: FleetView): void {
    for (const entry of this.knownEntries) {
      if (entry === this.options.instance) continue;
      if (view.isGone(entry)) this.onPeerEnded(entry);
      else if (!view.isAlive(entry)) this.onPeerDown(entry);
    }
  }

  private selectDispatcher(view: FleetView): void {
    const {cell, instance} = this.options;
    const peer = dispatcherOf(cell, view, this.policy.scope, instance);
    if (peer === undefined) return;
    const session = this.sessionOf(peer);
    if (session === undefined) return;
    this.postToClient({
      type: 'set_dispatcher',
      dispatcher: {peer, session},
      notifyPrevious: this.canNotifyPrevious(),
    });
  }

  private canNotifyPrevious(): boolean {
    const previous = this.client.currentDispatcher;
    if (previous === undefined) return false;
    return this.sessionOf(previous.peer) === previous.session;
  }

  /** Returns undefined if there is no link to the peer. */
  private sessionOf(peer: string): number | undefined {
    if (peer === this.options.instance) return LOCAL_SESSION;
    return this.options.mesh().sessionOf(peer);
  }

  private postToClient(event: DispatcherClientEvent): void {
    this.mailbox.post({type: 'entry', event});
  }

  private postToDispatcher(event: DispatchEvent): void {
    this.mailbox.post({type: 'dispatch', event});
  }

  private handle(event: CellEvent): void {
    const nowMs = this.options.clock.monotonicMs();
    if (event.type === 'entry') {
      for (const command of this.client.handle(event.event, nowMs)) {
        this.executeClientCommand(command, nowMs);
      }
      return;
    }
    for (const command of this.dispatcher.handle(event.event, nowMs)) {
      this.executeDispatcherCommand(command);
    }
  }

  private executeClientCommand(
    command: DispatcherClientCommand,
    nowMs: number
  ): void {
    if (command.type === 'send') {
      this.sendToDispatcher(command.dispatcher.peer, command.message, nowMs);
      return;
    }
    const {requestId} = command;
    if (command.type === 'refused') {
      const {reason, retryAfterMs} = command;
      this.waiters.settle(requestId, {type: 'refused', reason, retryAfterMs});
      return;
    }
    const {grantId, target, expiresAtMs} = command;
    const slot = {grantId, target, expiresAtMs};
    if (!this.waiters.settle(requestId, {type: 'granted', slot})) {
      this.finish(grantId, {outcome: 'withdrawn', cost: 0});
    }
  }

  private sendToDispatcher(
    peer: string,
    message: EntryMessage,
    sentAtMs: number
  ): void {
    if (peer === this.options.instance) {
      this.onEntryMessage(peer, sentAtMs, message);
      return;
    }
    this.options.mesh().send(peer, {type: 'to_dispatcher', sentAtMs, message});
  }

  private executeDispatcherCommand(command: DispatchCommand): void {
    const {entry, message} = command;
    if (entry === this.options.instance) {
      const dispatcher = {peer: entry, session: LOCAL_SESSION};
      this.onDispatcherMessage(dispatcher, message);
      return;
    }
    this.options.mesh().send(entry, {type: 'to_entry', message});
  }
}
