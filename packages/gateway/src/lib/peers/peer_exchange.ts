/**
 * Tells all peers, by datagram, what runs here, and hears it of them. Every
 * message stands for itself, so a lost one is mended by the next.
 */
import dgram from 'node:dgram';
import {messageOf} from '@applebend/utils';
import {PeerBoard} from './peer_board.js';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';

import type {Prompt} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {PeerAddress, StateSource} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {LoadRow} from '../state/peer_loads.js';
import type {PlacedRow, UseRow} from './peer_message.js';

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
  private readonly socket = dgram.createSocket('udp4');
  private readonly board: PeerBoard;
  private readonly uses = new Map<string, UseRow>();
  private readonly changedUses = new Set<string>();
  private placed: PlacedRow[] = [];
  /** Addresses by `host:port`, so that no peer is told twice. */
  private readonly peers = new Map<string, PeerAddress>();
  private sequence = 0;
  private heartbeat: NodeJS.Timeout | undefined;
  private soon: NodeJS.Timeout | undefined;

  private constructor(private readonly options: PeerExchangeOptions) {
    const {log, state} = options;
    this.board = PeerBoard.create(state.peerLoads);
    this.socket.on('message', (bytes, from) =>
      this.onDatagram(bytes, from.address, from.port)
    );
    this.socket.on('error', err =>
      log.warn('peer socket failed', {cause: messageOf(err)})
    );
  }

  static create(options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options);
  }

  start(): void {
    const {host, port} = this.options.state.settings.peers;
    this.socket.bind(port, host);
    this.heartbeat = setInterval(() => this.onHeartbeat(), HEARTBEAT_MS);
  }

  stop(): void {
    clearInterval(this.heartbeat);
    clearTimeout(this.soon);
    this.send();
    this.socket.close();
  }

  /** Adds peers that the outside systems know of. */
  addPeers(peers: readonly PeerAddress[]): void {
    for (const peer of peers) this.addPeer(peer);
  }

  onPlaced(target: string, prompt: Prompt | undefined): void {
    this.soon ??= setTimeout(() => this.send(), PLACED_DELAY_MS);
    if (prompt === undefined || this.placed.length >= MAX_PLACED) return;
    this.placed.push({target, parts: prompt.parts});
  }

  onUse(customer: string, asked: number, given: number): void {
    const sum = this.uses.get(customer) ?? {customer, asked: 0, given: 0};
    this.uses.set(customer, {
      customer,
      asked: sum.asked + asked,
      given: sum.given + given,
    });
    this.changedUses.add(customer);
    const {state, clock} = this.options;
    state.shares.add(customer, {asked, given}, clock.monotonicMs());
  }

  private onHeartbeat(): void {
    const {state, clock} = this.options;
    state.instanceCount = 1 + this.board.sweep(clock.monotonicMs());
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
      leaving: state.stopping,
      targets: source.targetsStamp(),
      loads: this.ownLoads(),
      uses: this.takeChangedUses(),
      placed: this.placed,
    });
    this.placed = [];
    for (const {host, port} of this.peers.values()) {
      this.socket.send(bytes, port, host, this.onSent);
    }
  }

  private readonly onSent = (err: Error | null): void => {
    if (err === null) return;
    this.options.log.warn('peer message not sent', {cause: err.message});
  };

  private ownLoads(): LoadRow[] {
    const rows: LoadRow[] = [];
    for (const entry of this.options.state.targets.all()) {
      const figures = entry.own.figures;
      if (figures.running === 0) continue;
      rows.push({target: entry.target.id, ...figures});
    }
    return rows;
  }

  private takeChangedUses(): UseRow[] {
    const rows: UseRow[] = [];
    for (const customer of this.changedUses) {
      const row = this.uses.get(customer);
      if (row !== undefined) rows.push(row);
    }
    this.changedUses.clear();
    return rows;
  }

  private addPeer(peer: PeerAddress): void {
    const {host, port} = this.options.state.settings.peers;
    if (peer.host === host && peer.port === port) return;
    this.peers.set(`${peer.host}:${peer.port}`, peer);
  }

  private onDatagram(bytes: Buffer, host: string, port: number): void {
    const {state, clock, log} = this.options;
    const message = decodePeerMessage(bytes);
    if (message === undefined) {
      log.warn('unreadable peer message', {host, port});
      return;
    }
    const nowMs = clock.monotonicMs();
    const isNew = this.board.onMessage(message, nowMs, row =>
      state.shares.add(row.customer, row, nowMs)
    );
    if (!isNew) return;
    this.addPeer({host, port});
    this.options.source.onPeerTargets(message.targets);
    for (const {target, parts} of message.placed) {
      state.targets.get(target)?.cache.touch(parts);
    }
  }
}
