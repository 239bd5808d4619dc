/**
 * One service's cell as this instance takes part in it: as an entry, and as
 * the dispatcher while the cell's key falls to this instance.
 */
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

/** A slot that was granted to a request. @public */
export interface GrantedSlot {
  readonly grantId: string;
  readonly target: string;
  /** This instance's clock after which no byte may leave. */
  readonly expiresAtMs: number;
}

/** How waiting for a slot ended. @public */
export type SlotAcquisition =
  | {readonly type: 'granted'; readonly slot: GrantedSlot}
  | {
      readonly type: 'refused';
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    }
  | {readonly type: 'cancelled'};

/** How the use of a slot ended. @public */
export interface SlotResult {
  readonly outcome: SlotOutcome;
  /** Weighted tokens. */
  readonly cost: number;
  readonly times?: TokenTimes | undefined;
}

/** What a cell is made from. @public */
export interface CellTaskOptions {
  readonly cell: string;
  readonly instance: string;
  readonly incarnation: string;
  readonly policy: PolicyName;
  readonly leaseMs: number;
  readonly slots: SlotSettings;
  readonly rulesOf: RulesLookup;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly busyMeter: BusyMeter;
}

/** The fleet as the cell's roles need to see it. @public */
export interface FleetView {
  /** Instances that may be dispatchers. */
  readonly candidates: readonly string[];
  /** Routers that may own slots. */
  readonly slotOwners: readonly string[];
  readonly targets: readonly TargetView[];
  isAlive(id: string): boolean;
  isGone(id: string): boolean;
}

type CellEvent =
  | {readonly type: 'entry'; readonly event: DispatcherClientEvent}
  | {readonly type: 'dispatch'; readonly event: DispatchEvent};

const LOCAL_SESSION = 0;

/** @public */
export class CellTask {
  private readonly client: DispatcherClient;
  private readonly dispatcher: Dispatcher;
  private readonly mailbox: Mailbox<CellEvent>;
  private readonly waiters = new Map<
    string,
    (acquired: SlotAcquisition) => void
  >();
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
    return this.client.staleGrants;
  }

  /** The instance that dispatches this cell, as seen from here. */
  get dispatcherId(): string | undefined {
    return this.client.currentDispatcher?.peer;
  }

  /** Waits for a slot; an abort takes the request out of the queue. */
  acquire(
    announcement: Announcement,
    signal: AbortSignal
  ): Promise<SlotAcquisition> {
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

  /** Tells how many weighted tokens a running request has used. */
  progress(grantId: string, cost: number): void {
    if (!this.client.isProgressDue(grantId, cost)) return;
    this.postToClient({type: 'progress', grantId, cost});
  }

  /** Gives a slot back. */
  finish(grantId: string, use: SlotResult): void {
    this.postToClient({type: 'finish', grantId, ...use});
  }

  setSlots(slots: SlotSettings): void {
    this.postToDispatcher({type: 'settings', slots});
  }

  /** Lets time pass: grants to this instance's own entry stay valid. */
  refreshOwnEntry(): void {
    this.onPeerSeen(this.options.instance, this.options.clock.monotonicMs());
  }

  /** Takes in the fleet as it is now. */
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

  onPeerDown(peer: string): void {
    this.postToDispatcher({type: 'entry_silent', entry: peer});
  }

  onPeerEnded(peer: string): void {
    this.knownEntries.delete(peer);
    this.postToDispatcher({type: 'entry_ended', entry: peer});
  }

  onPeerSeen(peer: string, sentAtMs: number): void {
    this.postToDispatcher({type: 'entry_seen', entry: peer, sentAtMs});
  }

  /** A message for the dispatcher here. */
  onEntryMessage(peer: string, sentAtMs: number, message: EntryMessage): void {
    if (message.type === 'sync') this.knownEntries.add(peer);
    this.postToDispatcher({
      type: 'entry_message',
      entry: peer,
      sentAtMs,
      message,
    });
  }

  /** A message for the entry here. */
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

  /** Without a dispatcher for all, living routers share each target. */
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
