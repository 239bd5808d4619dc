/**
 * Tells peers, by datagram, what runs here, and hears it of them. Every
 * message stands for itself, so a lost one is mended by the next.
 */
import {PeerBoard} from './peer_board.js';
import {PeerDirectory} from './peer_directory.js';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';
import {PeerSocket} from './peer_socket.js';
import {ProofExchange} from './proof_exchange.js';
import {SummaryExchange} from './summary_exchange.js';
import {UseLedger} from './use_ledger.js';
import {MESSAGE_KIND} from './wire_rows.js';

import type {Prompt} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {
  PeerAddress,
  PeerInfo,
  ConfirmedState,
  StateSource,
} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {PeerMessage, PlacedRow, UseRow} from './peer_message.js';

/** A message goes out at least this often. */
const HEARTBEAT_MS = 250;
/** Placements are told this soon, so that others do not choose alike. */
const PLACED_DELAY_MS = 10;
const MAX_PLACED = 40;

/** @public */
export interface PeerExchangeOptions {
  readonly state: FleetState;
  readonly clock: Clock;
  readonly log: Logger;
  /** Differs in each life of this instance. */
  readonly incarnation: number;
  readonly source: StateSource;
}

/** @public */
export class PeerExchange {
  private readonly socket: PeerSocket;
  private readonly directory: PeerDirectory;
  private readonly board: PeerBoard;
  private readonly summaries: SummaryExchange;
  private readonly proofs: ProofExchange;
  private readonly uses = UseLedger.create();
  private placed: PlacedRow[] = [];
  private sequence = 0;
  private heartbeat: NodeJS.Timeout | undefined;
  private soon: NodeJS.Timeout | undefined;

  private constructor(private readonly options: PeerExchangeOptions) {
    const {log, state, clock, incarnation, source} = options;
    const {instance, failureDomain, capacity, peers} = state.settings;
    const self = {instance, failureDomain, capacity, ...peers};
    this.socket = PeerSocket.create(log);
    this.directory = PeerDirectory.create(self);
    this.board = PeerBoard.create(state.peerLoads.ownGroup);
    this.socket.handle(MESSAGE_KIND.peer, (wire, from) =>
      this.onPeerMessage(wire, from)
    );
    const {socket, directory, board} = this;
    this.summaries = SummaryExchange.create({
      state,
      clock,
      log,
      incarnation,
      socket,
      directory,
      board,
    });
    this.proofs = ProofExchange.create({
      socket,
      clock,
      log,
      source,
      superior: () => this.superior(),
    });
  }

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  /** Whether peers are asked for proofs before the outside systems are read. */
  get usesPeerConfirmations(): boolean {
    return this.directory.isSplit;
  }

  start(): void {
    const {peers, seeds} = this.options.state.settings;
    for (const seed of seeds) this.directory.onAddress(seed);
    this.socket.open(peers);
    this.heartbeat = setInterval(() => this.onHeartbeat(), HEARTBEAT_MS);
    this.summaries.start();
  }

  stop(): void {
    clearInterval(this.heartbeat);
    clearTimeout(this.soon);
    this.summaries.stop();
    this.proofs.stop();
    this.send();
    this.socket.close();
  }

  /** Adds peers that the outside systems list. */
  addListedPeers(peers: readonly PeerInfo[]): void {
    this.directory.onListed(peers);
  }

  /** What a peer that reads for this instance says is newest. */
  requestConfirmation(targetsKey: number): Promise<ConfirmedState | undefined> {
    return this.proofs.ask(targetsKey);
  }

  onPlaced(target: string, prompt: Prompt | undefined, isNew: boolean): void {
    this.soon ??= setTimeout(() => this.send(), PLACED_DELAY_MS);
    if (prompt === undefined) return;
    const row = {target, parts: prompt.prefixBlocks, isNew};
    this.summaries.onGroupPlaced(row);
    if (this.placed.length < MAX_PLACED) this.placed.push(row);
  }

  onUsage(customer: string, requested: number, admitted: number): void {
    const {state, clock} = this.options;
    const row = {customer, requested: requested, admitted: admitted};
    this.uses.add(row);
    this.summaries.onGroupUse(row);
    state.customerShares.add(customer, row, clock.monotonicMs());
  }

  private onHeartbeat(): void {
    const {state, clock} = this.options;
    const nowMs = clock.monotonicMs();
    state.groupInstanceCount = 1 + this.board.sweep(nowMs);
    state.instanceCount =
      state.groupInstanceCount + this.summaries.sweep(nowMs);
    this.send();
  }

  private send(): void {
    const {state, incarnation, source} = this.options;
    clearTimeout(this.soon);
    this.soon = undefined;
    this.sequence += 1;
    const bytes = encodePeerMessage({
      instance: state.settings.instance,
      incarnation,
      sequence: this.sequence,
      leaving: state.isStopping,
      targets: source.targetListStamp(),
      loads: state.targets.loadRows(({ownLoad}) => ownLoad.load),
      uses: this.uses.takeChanged(),
      placed: this.placed,
    });
    this.placed = [];
    for (const address of this.directory.neighbours()) {
      this.socket.send(bytes, address);
    }
  }

  private onPeerMessage(wire: readonly unknown[], from: PeerAddress): boolean {
    const message = decodePeerMessage(wire);
    if (message === undefined) return false;
    if (this.directory.isNeighbour(message.instance)) this.take(message, from);
    return true;
  }

  private take(message: PeerMessage, from: PeerAddress): void {
    const {state, clock, source} = this.options;
    const nowMs = clock.monotonicMs();
    const onUse = (row: UseRow) => {
      state.customerShares.add(row.customer, row, nowMs);
      this.summaries.onGroupUse(row);
    };
    if (!this.board.onMessage(message, nowMs, onUse)) return;
    this.directory.onAddress(from);
    source.onPeerTargetList(message.targets);
    for (const row of message.placed) {
      state.targets.get(row.target)?.prefixCache.touch(row.parts);
      this.summaries.onGroupPlaced(row);
    }
  }

  /** Members ask their relay; relays that of the group above theirs. */
  private superior(): PeerAddress | undefined {
    const {directory, options, board} = this;
    if (!directory.isSplit) return undefined;
    const nowMs = options.clock.monotonicMs();
    if (!this.summaries.isOwnRelay(nowMs)) {
      return directory.ownRelay(id => board.isAlive(id, nowMs));
    }
    const {superiorGroup} = directory;
    if (superiorGroup === undefined) return undefined;
    return directory.relayAt(superiorGroup, nowMs);
  }
}
