/**
 * The links to all other instances. Of each pair the one with the lower id
 * dials; a new link to a peer replaces the one before.
 */
import http from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {Link} from '@applebend/protocol';

import type {LinkCloseReason, PeerMessage} from '@applebend/protocol';
import type {PeerIdentity} from '@applebend/protocol';
import type {Logger, Metrics} from '@applebend/telemetry';
import type {BusyMeter} from '@applebend/utils';

/** Where a peer listens for links. @public */
export interface PeerAddress {
  readonly id: string;
  readonly host: string;
  readonly port: number;
}

/** What the mesh tells its owner. @public */
export interface MeshEvents {
  onUp(peer: PeerIdentity, session: number): void;
  onDown(peer: PeerIdentity, session: number): void;
  onMessages(
    peer: PeerIdentity,
    session: number,
    messages: readonly PeerMessage[]
  ): void;
}

/** What the mesh is made from. @public */
export interface MeshOptions {
  readonly identity: PeerIdentity;
  readonly secret: string;
  readonly host: string;
  readonly port: number;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly events: MeshEvents;
  readonly busy: BusyMeter;
}

interface OpenLink {
  readonly link: Link;
  readonly peer: PeerIdentity;
  readonly session: number;
}

const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const DIAL_TIMEOUT_MS = 2000;

/** @public */
export class PeerMesh {
  private readonly open = new Map<string, OpenLink>();
  private readonly dialing = new Set<string>();
  private readonly links = new Set<Link>();
  private readonly server: http.Server;
  private sessions = 0;
  private closedSentBytes = 0;
  private closedReceivedBytes = 0;
  private stopped = false;

  private constructor(private readonly options: MeshOptions) {
    this.server = http.createServer((_req, res) => {
      res.writeHead(426).end();
    });
    const sockets = new WebSocketServer({
      server: this.server,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    sockets.on('connection', socket => this.adopt(socket));
  }

  static async create(options: MeshOptions): Promise<PeerMesh> {
    const mesh = new PeerMesh(options);
    await new Promise<void>((resolve, reject) => {
      mesh.server.once('error', reject);
      mesh.server.listen(options.port, options.host, resolve);
    });
    return mesh;
  }

  /** Bytes sent and received over all links so far. */
  get traffic(): {sentBytes: number; receivedBytes: number} {
    let sentBytes = this.closedSentBytes;
    let receivedBytes = this.closedReceivedBytes;
    for (const link of this.links) {
      sentBytes += link.traffic.sentBytes;
      receivedBytes += link.traffic.receivedBytes;
    }
    return {sentBytes, receivedBytes};
  }

  /** The number of the open link to a peer, if there is one. */
  sessionOf(peer: string): number | undefined {
    return this.open.get(peer)?.session;
  }

  /** Dials the peers that this instance has to dial and has no link to. */
  dialMissing(peers: readonly PeerAddress[]): void {
    if (this.stopped) return;
    for (const peer of peers) {
      if (peer.id <= this.options.identity.instance) continue;
      if (this.open.has(peer.id) || this.dialing.has(peer.id)) continue;
      this.dial(peer);
    }
  }

  send(peer: string, message: PeerMessage): void {
    this.open.get(peer)?.link.send(message);
  }

  broadcast(message: PeerMessage): void {
    for (const {link} of this.open.values()) link.send(message);
  }

  /** Closes the link to a peer that has fallen silent. */
  drop(peer: string): void {
    this.open.get(peer)?.link.close('socket_error');
  }

  /** Says what is still queued and closes all links. */
  async stop(): Promise<void> {
    this.stopped = true;
    for (const link of this.links) link.flushAndClose();
    await new Promise(resolve => this.server.close(resolve));
  }

  private dial(peer: PeerAddress): void {
    this.dialing.add(peer.id);
    const socket = new WebSocket(`ws://${peer.host}:${peer.port}/`, {
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
      handshakeTimeout: DIAL_TIMEOUT_MS,
      localAddress: this.options.host,
    });
    socket.once('open', () => this.adopt(socket));
    socket.once('error', () => {});
    socket.once('close', () => this.dialing.delete(peer.id));
  }

  private adopt(socket: WebSocket): void {
    let opened: OpenLink | undefined;
    const link = Link.create(socket, {
      identity: this.options.identity,
      secret: this.options.secret,
      busyMeter: this.options.busy,
      events: {
        onOpen: peer => {
          opened = this.onOpen(link, peer);
        },
        onMessages: messages => {
          if (opened === undefined) return;
          const {peer, session} = opened;
          this.options.events.onMessages(peer, session, messages);
        },
        onClose: reason => this.onClose(link, opened, reason),
      },
    });
    this.links.add(link);
  }

  private onOpen(link: Link, peer: PeerIdentity): OpenLink {
    this.open.get(peer.instance)?.link.close('closed_here');
    this.sessions += 1;
    const opened = {link, peer, session: this.sessions};
    this.open.set(peer.instance, opened);
    this.options.log.debug('link_open', {peer: peer.instance});
    this.options.events.onUp(peer, opened.session);
    return opened;
  }

  private onClose(
    link: Link,
    opened: OpenLink | undefined,
    reason: LinkCloseReason
  ): void {
    this.links.delete(link);
    this.closedSentBytes += link.traffic.sentBytes;
    this.closedReceivedBytes += link.traffic.receivedBytes;
    this.options.metrics.linkCloses.inc({reason});
    if (opened === undefined) return;
    const {peer, session} = opened;
    if (this.open.get(peer.instance)?.session === session) {
      this.open.delete(peer.instance);
    }
    this.options.log.debug('link_closed', {peer: peer.instance, reason});
    this.options.events.onDown(peer, session);
  }
}
