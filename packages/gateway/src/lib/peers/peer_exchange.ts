import {PeerTable} from './peer_table.js';
import {PeerDirectory} from './peer_directory.js';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';
import {MESSAGE_ORDER} from './message_order.js';
import {NoticeOutbox} from './notice_outbox.js';
import {PeerSocket} from './peer_socket.js';
import {fetchConfigRecord} from './config_transfer.js';
import {ConfirmationExchange} from './confirmation_exchange.js';
import {AggregateExchange} from './aggregate_exchange.js';
import {applyNotice, noticesForStart} from './notice.js';
import {targetPool} from '../state/target_pool.js';
import {UsageCounters} from './usage_counters.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Prompt} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock, PortOptions} from '@applebend/utils';
import type {
  PeerAddress,
  PeerInfo,
  ConfirmedState,
  HeldState,
  StateSource,
} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {PeerDatagram, PlacementRow, UsageRow} from './peer_message.js';
import type {Notice} from './notice.js';

/** A message is sent at least this often. */
const HEARTBEAT_INTERVAL_MS = 250;
/**
 * Delay before a placement or other news is sent. It is short so that peers do
 * not choose the same target in the meantime.
 */
const SEND_DELAY_MS = 10;
/** Limit for one message; further placements are not sent. */
const MAX_PLACEMENTS = 40;

/** @public */
export interface PeerExchangeOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: Logger;
  /** Differs after each restart of this instance. */
  readonly incarnation: number;
  readonly source: StateSource;
}

/**
 * Exchanges the load, placements and usage of this instance with its peers by
 * datagram; in a large fleet only with those of its group, and through the
 * group's relay with the others. Load is sent as its current value and usage
 * as a total, so later messages make up for a lost one. A lost placement is not
 * sent again.
 *
 * @public
 */
export class PeerExchange {
  private readonly socket: PeerSocket;
  private readonly directory: PeerDirectory;
  private readonly peerTable: PeerTable;
  private readonly aggregates: AggregateExchange;
  private readonly confirmations: ConfirmationExchange;
  private readonly usage = UsageCounters.create();
  private readonly notices = NoticeOutbox.create();
  private placements: PlacementRow[] = [];
  private sequence = 0;
  private heartbeat: NodeJS.Timeout | undefined;
  private sendTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: PeerExchangeOptions) {
    const {log, state, clock, incarnation, source} = options;
    const {instance, failureDomain, capacity, peers} = state.settings;
    const self = {instance, failureDomain, capacity, ...peers};
    this.socket = PeerSocket.create(log);
    this.directory = PeerDirectory.create(self);
    this.peerTable = PeerTable.create(state.peerLoads.ownGroup);
    this.socket.handle(MESSAGE_KIND.peer, (wire, from) =>
      this.onPeerMessage(wire, from)
    );
    const {socket, directory, peerTable} = this;
    this.aggregates = AggregateExchange.create({
      state,
      clock,
      log,
      incarnation,
      socket,
      directory,
      peerTable,
    });
    this.confirmations = ConfirmationExchange.create({
      socket,
      clock,
      log,
      source,
      parentAddress: () => this.parentAddress(),
      levelsAbove: () => this.levelsAbove(),
      evacuations: () => state.targets.evacuations.state,
      onEvacuations: evacuations =>
        state.targets.onPeerEvacuations(evacuations, clock.monotonicMs()),
    });
  }

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  /** Whether a parent is asked for confirmations before the store is read. */
  get usesPeerConfirmations(): boolean {
    return this.directory.hasMultipleGroups;
  }

  /** Whether there is a parent that reads the store for this instance. */
  get hasReader(): boolean {
    return this.parentAddress() !== undefined;
  }

  /** Resolves when the port for datagrams is open; nothing is sent before. */
  open(port: PortOptions): Promise<void> {
    return this.socket.open(port);
  }

  /** Begins to send; called once the port is open. */
  start(): void {
    const {seeds} = this.options.state.settings;
    for (const seed of seeds) this.directory.addAddress(seed);
    this.heartbeat = setInterval(
      () => this.onHeartbeat(),
      HEARTBEAT_INTERVAL_MS
    );
    this.aggregates.start();
    this.scheduleSend();
  }

  /** Tells the peers that this instance stops, and stops. */
  stop(): void {
    this.send();
    this.halt();
  }

  /** Stops without a message. */
  halt(): void {
    clearInterval(this.heartbeat);
    clearTimeout(this.sendTimer);
    this.aggregates.stop();
    this.confirmations.stop();
    this.socket.close();
  }

  /** Adds peers that are registered in the store. */
  addListedPeers(peers: readonly PeerInfo[]): void {
    this.directory.addListedPeers(peers);
    this.scheduleSend();
  }

  /**
   * Asks the parent peer which state is the newest. Resolves to undefined if
   * there is no parent or none responded in time.
   *
   * @param targetsKey - key of the target list that is held here
   */
  requestConfirmation(targetsKey: number): Promise<ConfirmedState | undefined> {
    return this.confirmations.request(targetsKey);
  }

  /** Fetches the record of the configuration that the parent peer holds. */
  async fetchConfigRecord(): Promise<Buffer | undefined> {
    const parent = this.parentAddress();
    if (parent === undefined) return undefined;
    return fetchConfigRecord(parent, this.options.log);
  }

  /**
   * Called after a request was sent to a target.
   *
   * @param isCacheMiss - whether a shared prefix block of the prompt was
   *     missing in the target's cache
   */
  onPlaced(
    target: string,
    prompt: Prompt | undefined,
    isCacheMiss: boolean
  ): void {
    this.scheduleSend();
    if (prompt === undefined) return;
    const row = {target, blocks: prompt.prefixBlocks, isCacheMiss};
    this.aggregates.onGroupPlacement(row);
    if (this.placements.length < MAX_PLACEMENTS) this.placements.push(row);
  }

  /** Adds usage at this instance. */
  onUsage(row: UsageRow): void {
    const {state, clock} = this.options;
    this.sendUsage(row);
    state.sharesOf(row.pool).add(row.customer, row, clock.monotonicMs());
  }

  /** Counts a request that is sent to a target that limits their rate. */
  onLimitedSend(target: string): void {
    const usage = {customer: '', requested: 1, admitted: 1};
    this.sendUsage({pool: targetPool(target), ...usage});
  }

  private sendUsage(row: UsageRow): void {
    this.usage.add(row);
    this.aggregates.onGroupUsage(row);
  }

  /** Tells all peers, with the next message. */
  announce(notice: Notice): void {
    this.addNotice(notice);
    this.scheduleSend();
  }

  /** Tells all peers at once. */
  announceNow(notices: readonly Notice[]): void {
    for (const notice of notices) this.addNotice(notice);
    this.send();
  }

  private addNotice(notice: Notice): void {
    const nowMs = this.options.clock.monotonicMs();
    this.notices.add(notice, nowMs);
    this.aggregates.onGroupNotice(notice, nowMs);
  }

  private onHeartbeat(): void {
    const {state, clock} = this.options;
    const nowMs = clock.monotonicMs();
    state.groupInstanceCount = 1 + this.peerTable.evictSilent(nowMs);
    state.instanceCount =
      state.groupInstanceCount + this.aggregates.evictStale(nowMs);
    this.send();
  }

  private scheduleSend(): void {
    this.sendTimer ??= setTimeout(() => this.send(), SEND_DELAY_MS);
  }

  private send(): void {
    const {state, incarnation, source, clock} = this.options;
    const nowMs = clock.monotonicMs();
    clearTimeout(this.sendTimer);
    this.sendTimer = undefined;
    this.sequence += 1;
    const bytes = encodePeerMessage({
      instance: state.settings.instance,
      incarnation,
      sequence: this.sequence,
      leaving: state.isStopping,
      ...source.heldState(),
      sentAtMs: nowMs,
      loads: state.targets.loadRows(({ownLoad}) => ownLoad.load),
      usage: this.usage.takeChanged(),
      placements: this.placements,
      notices: this.notices.take(nowMs),
    });
    this.placements = [];
    for (const address of this.directory.directPeers()) {
      this.socket.send(bytes, address);
    }
  }

  private onPeerMessage(wire: readonly unknown[], from: PeerAddress): boolean {
    const message = decodePeerMessage(wire);
    if (message === undefined) return false;
    if (this.directory.isDirect(message.instance)) this.apply(message, from);
    return true;
  }

  private apply(message: PeerDatagram, from: PeerAddress): void {
    const {state, clock, source} = this.options;
    const nowMs = clock.monotonicMs();
    const onUsage = (row: UsageRow) => {
      state.addPeerUsage(row, nowMs);
      this.aggregates.onGroupUsage(row);
    };
    const order = this.peerTable.onMessage(message, nowMs, onUsage);
    if (order === MESSAGE_ORDER.stale) return;
    this.directory.addAddress(from);
    source.onPeerState(this.agedState(message));
    if (order === MESSAGE_ORDER.started) this.onPeerStarted(nowMs);
    for (const notice of message.notices) {
      applyNotice(notice, state, nowMs);
      this.aggregates.onGroupNotice(notice, nowMs);
    }
    for (const row of message.placements) {
      state.targets.get(row.target)?.prefixCache.touch(row.blocks);
      this.aggregates.onGroupPlacement(row);
    }
  }

  /** What the peer holds; its read is older by the time for which this waited. */
  private agedState(message: PeerDatagram): HeldState {
    const {targetList} = message;
    const lateMs = this.peerTable.lateMs(message.instance);
    const ageMs = targetList.ageMs + lateMs;
    const {storeEra, configVersion, isConfigConfirmed} = message;
    const list = {...targetList, ageMs};
    return {storeEra, configVersion, isConfigConfirmed, targetList: list};
  }

  /**
   * Tells a peer that started what is held here; it lets no key in before it has
   * heard a peer.
   */
  private onPeerStarted(nowMs: number): void {
    this.scheduleSend();
    for (const notice of noticesForStart(this.options.state, nowMs)) {
      this.notices.add(notice, nowMs);
    }
  }

  /** Relays between this instance's parent and the one that reads for all. */
  private levelsAbove(): number {
    const {directory, options} = this;
    const isRelay = this.aggregates.isGroupRelay(options.clock.monotonicMs());
    const relays = directory.parentGroup === 0 ? 0 : 1;
    return isRelay ? relays : relays + 1;
  }

  /**
   * Returns the address of the parent: the group's relay for an ordinary
   * member, the relay of the parent group for a relay. Returns undefined if
   * this instance has to read the store itself.
   */
  private parentAddress(): PeerAddress | undefined {
    const {directory, options, peerTable} = this;
    if (!directory.hasMultipleGroups) return undefined;
    const nowMs = options.clock.monotonicMs();
    if (!this.aggregates.isGroupRelay(nowMs)) {
      return directory.ownRelay(id => peerTable.isAlive(id, nowMs));
    }
    const {parentGroup} = directory;
    if (parentGroup === undefined) return undefined;
    return directory.relayAddress(parentGroup, nowMs);
  }
}
