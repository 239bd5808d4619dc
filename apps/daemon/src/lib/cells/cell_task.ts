import {
  Dispatcher,
  DispatcherClient,
  POLICIES,
  rendezvousPick,
} from '@applebend/core';
import {Mailbox} from '@applebend/utils';

import type {
  Announcement,
  DispatchCommand,
  DispatcherEndpoint,
  DispatcherMessage,
  DispatcherStats,
  DispatchEvent,
  DispatchRefusalReason,
  DispatcherClientCommand,
  DispatcherClientEvent,
  EntryMessage,
  TargetLoss,
  PolicyName,
  RulesLookup,
  SlotOutcome,
  SlotSettings,
  TargetView,
  TokenTimes,
} from '@applebend/core';
import type {BusyMeter, Clock} from '@applebend/utils';
import type {PeerMesh} from '../peers/peer_mesh.js';

/** A slot granted to a request. @public */
export interface GrantedSlot {
  readonly grantId: string;
  readonly target: string;
  /** Monotonic time here after which the request must not be sent. */
  readonly expiresAtMs: number;
}

/** Outcome of a wait for a slot. @public */
export type Acquisition =
  | {readonly type: 'granted'; readonly slot: GrantedSlot}
  | {
      readonly type: 'refused';
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    }
  | {readonly type: 'cancelled'};

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

/** The fleet as this instance sees it. @public */
export interface FleetView {
  /** Instances that are eligible as dispatchers. */
  readonly candidates: readonly string[];
  /** Instances that may own slots. */
  readonly slotOwners: readonly string[];
  readonly targets: readonly TargetView[];
  /** Whether the heartbeats of another instance arrive. */
  isAlive(id: string): boolean;
  /** Whether it sent a goodbye, or is neither listed nor alive. */
  isGone(id: string): boolean;
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
  private readonly waiters = new Map<string, (acquired: Acquisition) => void>();
  /** Entries that have synced with the dispatcher here. */
  private readonly knownEntries = new Set<string>();

  private constructor(private readonly options: CellTaskOptions) {
    const {cell, incarnation, policy, slots, rulesOf, leaseMs} = options;
    this.client = DispatcherClient.create(cell);
    this.dispatcher = Dispatcher.create({
      cell,
      incarnation,
      policy: POLICIES[policy],
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
  acquire(
    announcement: Announcement,
    signal: AbortSignal
  ): Promise<Acquisition> {
    return new Promise(resolve => {
      if (signal.aborted) return resolve({type: 'cancelled'});
      const {requestId} = announcement;
      const onAbort = () => {
        this.waiters.delete(requestId);
        this.postToClient({type: 'cancel', requestId});
        resolve({type: 'cancelled'});
      };
      signal.addEventListener('abort', onAbort, {once: true});
      this.waiters.set(requestId, acquired => {
        signal.removeEventListener('abort', onAbort);
        resolve(acquired);
      });
      this.postToClient({type: 'submit', announcement});
    });
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
    const routers =
      POLICIES[this.options.policy].scope === 'entry'
        ? view.slotOwners.filter(id => this.mayOwnSlots(id, view))
        : view.slotOwners;
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

  /** If each entry is its own dispatcher, only live ones share the slots. */
  private mayOwnSlots(id: string, view: FleetView): boolean {
    return id === this.options.instance || view.isAlive(id);
  }

  private updateLostEntries(view: FleetView): void {
    for (const entry of this.knownEntries) {
      if (entry === this.options.instance) continue;
      if (view.isGone(entry)) this.onPeerEnded(entry);
      else if (!view.isAlive(entry)) this.onPeerDown(entry);
    }
  }

  private selectDispatcher(view: FleetView): void {
    const {cell, instance, policy} = this.options;
    const selected =
      POLICIES[policy].scope === 'entry'
        ? instance
        : rendezvousPick(cell, view.candidates);
    if (selected === undefined) return;
    const session =
      selected === instance
        ? LOCAL_SESSION
        : this.options.mesh().sessionOf(selected);
    if (session === undefined) return;
    const dispatcher = {peer: selected, session};
    this.postToClient({
      type: 'set_dispatcher',
      dispatcher,
      notifyPrevious: this.canNotifyPrevious(),
    });
  }

  private canNotifyPrevious(): boolean {
    const previous = this.client.currentDispatcher;
    if (previous === undefined) return false;
    if (previous.peer === this.options.instance) return true;
    return this.options.mesh().sessionOf(previous.peer) === previous.session;
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
    const resolve = this.waiters.get(command.requestId);
    this.waiters.delete(command.requestId);
    if (command.type === 'refused') {
      const {reason, retryAfterMs} = command;
      resolve?.({type: 'refused', reason, retryAfterMs});
      return;
    }
    const {grantId, target, expiresAtMs} = command;
    if (resolve === undefined) {
      this.finish(grantId, {outcome: 'withdrawn', cost: 0});
      return;
    }
    resolve({type: 'granted', slot: {grantId, target, expiresAtMs}});
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
