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
export type Acquired =
  | {readonly type: 'granted'; readonly slot: GrantedSlot}
  | {
      readonly type: 'refused';
      readonly reason: DispatchRefusalReason;
      readonly retryAfterMs: number;
    }
  | {readonly type: 'cancelled'};

/** How the use of a slot ended. @public */
export interface SlotUse {
  readonly outcome: SlotOutcome;
  /** Weighted tokens. */
  readonly cost: number;
  readonly times?: TokenTimes | undefined;
}

/** What a cell is made from. @public */
export interface CellParts {
  readonly cell: string;
  readonly instance: string;
  readonly incarnation: string;
  readonly policy: PolicyName;
  readonly leaseMs: number;
  readonly slots: SlotSettings;
  readonly rulesOf: RulesLookup;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly busy: BusyMeter;
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

const SELF_SESSION = 0;

/** @public */
export class CellTask {
  private readonly entry: DispatcherClient;
  private readonly dispatcher: Dispatcher;
  private readonly mailbox: Mailbox<CellEvent>;
  private readonly waiters = new Map<string, (acquired: Acquired) => void>();
  private readonly knownEntries = new Set<string>();

  private constructor(private readonly parts: CellParts) {
    const {cell, incarnation, policy, slots, rulesOf, leaseMs} = parts;
    this.entry = DispatcherClient.create(cell);
    this.dispatcher = Dispatcher.create({
      cell,
      incarnation,
      policy: POLICIES[policy],
      slots,
      rulesOf,
      leaseMs,
      wallMs: () => parts.clock.wallMs(),
    });
    this.mailbox = Mailbox.create(event =>
      parts.busy.measure(() => this.handle(event))
    );
  }

  static create(parts: CellParts): CellTask {
    return new CellTask(parts);
  }

  get stats(): DispatcherStats {
    return this.dispatcher.stats;
  }

  get waiting(): number {
    return this.entry.waitingCount;
  }

  get held(): number {
    return this.entry.heldCount;
  }

  get staleGrants(): number {
    return this.entry.staleGrants;
  }

  /** The instance that dispatches this cell, as seen from here. */
  get home(): string | undefined {
    return this.entry.currentDispatcher?.peer;
  }

  /** Waits for a slot; an abort takes the request out of the queue. */
  acquire(announcement: Announcement, signal: AbortSignal): Promise<Acquired> {
    return new Promise(resolve => {
      if (signal.aborted) return resolve({type: 'cancelled'});
      const {requestId} = announcement;
      const onAbort = () => {
        this.waiters.delete(requestId);
        this.toEntry({type: 'cancel', requestId});
        resolve({type: 'cancelled'});
      };
      signal.addEventListener('abort', onAbort, {once: true});
      this.waiters.set(requestId, acquired => {
        signal.removeEventListener('abort', onAbort);
        resolve(acquired);
      });
      this.toEntry({type: 'submit', announcement});
    });
  }

  /** Tells how many weighted tokens a running request has used. */
  progress(grantId: string, cost: number): void {
    if (!this.entry.isProgressDue(grantId, cost)) return;
    this.toEntry({type: 'progress', grantId, cost});
  }

  /** Gives a slot back. */
  finish(grantId: string, use: SlotUse): void {
    this.toEntry({type: 'finish', grantId, ...use});
  }

  setSlots(slots: SlotSettings): void {
    this.toDispatcher({type: 'settings', slots});
  }

  /** Lets time pass: grants to this instance's own entry stay valid. */
  takeTurn(): void {
    this.onPeerSeen(this.parts.instance, this.parts.clock.monotonicMs());
  }

  /** Takes in the fleet as it is now. */
  onFleet(view: FleetView): void {
    this.toDispatcher({type: 'targets', targets: view.targets});
    const routers =
      POLICIES[this.parts.policy].scope === 'entry'
        ? view.slotOwners.filter(id => this.ownsSlots(id, view))
        : view.slotOwners;
    this.toDispatcher({type: 'routers', routers});
    this.dropLostEntries(view);
    this.chooseHome(view);
  }

  onPeerDown(peer: string): void {
    this.toDispatcher({type: 'entry_silent', entry: peer});
  }

  onPeerEnded(peer: string): void {
    this.knownEntries.delete(peer);
    this.toDispatcher({type: 'entry_ended', entry: peer});
  }

  onPeerSeen(peer: string, sentAtMs: number): void {
    this.toDispatcher({type: 'entry_seen', entry: peer, sentAtMs});
  }

  /** A message for the dispatcher here. */
  onEntryMessage(peer: string, sentAtMs: number, message: EntryMessage): void {
    if (message.type === 'sync') this.knownEntries.add(peer);
    this.toDispatcher({
      type: 'entry_message',
      entry: peer,
      sentAtMs,
      message,
    });
  }

  /** A message for the entry here. */
  onDispatcherMessage(
    home: DispatcherEndpoint,
    message: DispatcherMessage
  ): void {
    this.toEntry({type: 'dispatcher_message', dispatcher: home, message});
  }

  onLoss(loss: TargetLoss): void {
    this.toDispatcher({type: 'loss', loss});
  }

  tick(): void {
    this.toDispatcher({type: 'tick'});
  }

  /** Without a dispatcher for all, living routers share each target. */
  private ownsSlots(id: string, view: FleetView): boolean {
    return id === this.parts.instance || view.isAlive(id);
  }

  private dropLostEntries(view: FleetView): void {
    for (const entry of this.knownEntries) {
      if (entry === this.parts.instance) continue;
      if (view.isGone(entry)) this.onPeerEnded(entry);
      else if (!view.isAlive(entry)) this.onPeerDown(entry);
    }
  }

  private chooseHome(view: FleetView): void {
    const {cell, instance, policy} = this.parts;
    const pick =
      POLICIES[policy].scope === 'entry'
        ? instance
        : rendezvousPick(cell, view.candidates);
    if (pick === undefined) return;
    const session =
      pick === instance ? SELF_SESSION : this.parts.mesh().sessionOf(pick);
    if (session === undefined) return;
    const home = {peer: pick, session};
    this.toEntry({
      type: 'set_dispatcher',
      dispatcher: home,
      notifyPrevious: this.canTellOld(),
    });
  }

  private canTellOld(): boolean {
    const old = this.entry.currentDispatcher;
    if (old === undefined) return false;
    if (old.peer === this.parts.instance) return true;
    return this.parts.mesh().sessionOf(old.peer) === old.session;
  }

  private toEntry(event: DispatcherClientEvent): void {
    this.mailbox.post({type: 'entry', event});
  }

  private toDispatcher(event: DispatchEvent): void {
    this.mailbox.post({type: 'dispatch', event});
  }

  private handle(event: CellEvent): void {
    const nowMs = this.parts.clock.monotonicMs();
    if (event.type === 'entry') {
      for (const command of this.entry.handle(event.event, nowMs)) {
        this.doEntryCommand(command, nowMs);
      }
      return;
    }
    for (const command of this.dispatcher.handle(event.event, nowMs)) {
      this.doDispatchCommand(command);
    }
  }

  private doEntryCommand(
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
    if (peer === this.parts.instance) {
      this.onEntryMessage(peer, sentAtMs, message);
      return;
    }
    this.parts.mesh().send(peer, {type: 'to_dispatcher', sentAtMs, message});
  }

  private doDispatchCommand(command: DispatchCommand): void {
    const {entry, message} = command;
    if (entry === this.parts.instance) {
      const home = {peer: entry, session: SELF_SESSION};
      this.onDispatcherMessage(home, message);
      return;
    }
    this.parts.mesh().send(entry, {type: 'to_entry', message});
  }
}
