import http from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {Link} from '@applebend/protocol';
import {listenWhenFree} from '@applebend/utils';

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

/** Callbacks of the mesh; each new link has a new `session`. @public */
export interface PeerMeshEvents {
  onLinkUp(peer: PeerIdentity, session: number): void;
  onLinkDown(peer: PeerIdentity, session: number): void;
  onMessages(
    peer: PeerIdentity,
    session: number,
    messages: readonly PeerMessage[]
  ): void;
}

/** @public */
export interface PeerMeshOptions {
  readonly identity: PeerIdentity;
  /** Shared by all instances; links are authenticated with it. */
  readonly secret: string;
  readonly host: string;
  readonly port: number;
  /** Ends the wait for the port. */
  readonly stopSignal?: AbortSignal;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly events: PeerMeshEvents;
  readonly busyMeter: BusyMeter;
}

interface OpenLink {
  readonly link: Link;
  readonly peer: PeerIdentity;
  readonly session: number;
}

const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const DIAL_TIMEOUT_MS = 2000;

/**
 * Links to all other instances. In each pair, the instance with the lower id
 * dials. A new link to a peer replaces the previous one.
 *
 * @public
 */
export class PeerMesh {
  /** Links whose handshake is complete, by the peer's instance id. */
  private readonly openLinks = new Map<string, OpenLink>();
  /** Ids of the peers dialed from here whose socket has not closed. */
  private readonly dialing = new Set<string>();
  /** All links that are not closed, also those without a handshake yet. */
  private readonly links = new Set<Link>();
  private readonly server: http.Server;
  private sessionCount = 0;
  private closedSentBytes = 0;
  private closedReceivedBytes = 0;
  private stopped = false;

  private constructor(private readonly options: PeerMeshOptions) {
    this.server = http.createServer((_req, res) => {
      res.writeHead(426).end();
    });
    const sockets = new WebSocketServer({
      server: this.server,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
    });
    sockets.on('connection', socket => this.startLink(socket));
    // It repeats the errors of the server, which `listenWhenFree` handles.
    sockets.on('error', () => undefined);
  }

  static async create(options: PeerMeshOptions): Promise<PeerMesh> {
    const mesh = new PeerMesh(options);
    await listenWhenFree(mesh.server, {...options, purpose: 'peers'});
    return mesh;
  }

  /** Bytes sent and received over all links since the start. */
  get traffic(): {sentBytes: number; receivedBytes: number} {
    let sentBytes = this.closedSentBytes;
    let receivedBytes = this.closedReceivedBytes;
    for (const link of this.links) {
      sentBytes += link.traffic.sentBytes;
      receivedBytes += link.traffic.receivedBytes;
    }
    return {sentBytes, receivedBytes};
  }

  /** Session number of the open link to a peer, or undefined without one. */
  sessionOf(peer: string): number | undefined {
    return this.openLinks.get(peer)?.session;
  }

  /** Dials the peers with higher ids to which there is no link. */
  dialMissing(peers: readonly PeerAddress[]): void {
    if (this.stopped) return;
    for (const peer of peers) {
      if (peer.id <= this.options.identity.instance) continue;
      if (this.openLinks.has(peer.id) || this.dialing.has(peer.id)) continue;
      this.dial(peer);
    }
  }

  send(peer: string, message: PeerMessage): void {
    this.openLinks.get(peer)?.link.send(message);
  }

  broadcast(message: PeerMessage): void {
    for (const {link} of this.openLinks.values()) link.send(message);
  }

  /** Closes the link to a peer whose heartbeats have stopped. */
  closeLink(peer: string): void {
    this.openLinks.get(peer)?.link.close('socket_error');
  }

  /** Sends queued messages and closes all links. */
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
    socket.once('open', () => this.startLink(socket));
    // A failed dial is repeated by the next call of `dialMissing`.
    socket.once('error', () => {});
    socket.once('close', () => this.dialing.delete(peer.id));
  }

  private startLink(socket: WebSocket): void {
    let opened: OpenLink | undefined;
    const link = Link.create(socket, {
      identity: this.options.identity,
      secret: this.options.secret,
      busyMeter: this.options.busyMeter,
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
    this.openLinks.get(peer.instance)?.link.close('closed_here');
    this.sessionCount += 1;
    const opened = {link, peer, session: this.sessionCount};
    this.openLinks.set(peer.instance, opened);
    this.options.log.debug('link_open', {peer: peer.instance});
    this.options.events.onLinkUp(peer, opened.session);
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
    if (this.openLinks.get(peer.instance)?.session === session) {
      this.openLinks.delete(peer.instance);
    }
    this.options.log.debug('link_closed', {peer: peer.instance, reason});
    this.options.events.onLinkDown(peer, session);
  }
}
