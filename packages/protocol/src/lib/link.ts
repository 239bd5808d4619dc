/**
 * One authenticated link between two instances over a WebSocket. A frame that
 * cannot be understood or a peer that cannot prove itself closes the link.
 */
import {match} from 'ts-pattern';
import {
  decodeFrame,
  decodeMessages,
  encodeFrame,
  encodeMessages,
} from './codec.js';
import {createHello, computeProof, isValidProof} from './handshake.js';
import {helloSchema, PROTOCOL_VERSION, proofSchema} from './messages.js';

import type {WebSocket} from 'ws';
import type {BusyMeter} from '@applebend/utils';
import type {PeerIdentity} from './handshake.js';
import type {Hello, PeerMessage} from './messages.js';

/** Why a link closed. @public */
export type LinkCloseReason =
  | 'remote_closed'
  | 'closed_here'
  | 'malformed_frame'
  | 'unauthenticated'
  | 'version_mismatch'
  | 'handshake_timeout'
  | 'too_slow'
  | 'socket_error';

/** What a link tells its owner. @public */
export interface LinkEvents {
  onOpen(peer: PeerIdentity): void;
  onMessages(messages: readonly PeerMessage[]): void;
  onClose(reason: LinkCloseReason): void;
}

/** What a link is made from. @public */
export interface LinkOptions {
  readonly identity: PeerIdentity;
  readonly secret: string;
  readonly events: LinkEvents;
  /** Measures the time that the link's frames take. */
  readonly busyMeter: BusyMeter;
}

/** Bytes that went over one link. @public */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

const HANDSHAKE_TIMEOUT_MS = 3000;
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

type LinkState = 'awaiting_hello' | 'awaiting_proof' | 'open' | 'closed';

/** @public */
export class Link {
  private state: LinkState = 'awaiting_hello';
  private readonly hello: Hello;
  private peerHello: Hello | undefined;
  private outgoing: PeerMessage[] = [];
  private sentBytes = 0;
  private receivedBytes = 0;
  private readonly handshakeTimer: NodeJS.Timeout;

  private constructor(
    private readonly socket: WebSocket,
    private readonly options: LinkOptions
  ) {
    this.hello = createHello(options.identity);
    this.handshakeTimer = setTimeout(
      () => this.close('handshake_timeout'),
      HANDSHAKE_TIMEOUT_MS
    );
  }

  /** Takes over a socket that is open, and starts the handshake on it. */
  static create(socket: WebSocket, options: LinkOptions): Link {
    const link = new Link(socket, options);
    socket.binaryType = 'nodebuffer';
    socket.on('message', data =>
      options.busyMeter.measure(() => link.onFrame(data as Buffer))
    );
    socket.on('close', () => link.close('remote_closed'));
    socket.on('error', () => link.close('socket_error'));
    link.writeHandshake(link.hello);
    return link;
  }

  get traffic(): LinkTraffic {
    return {sentBytes: this.sentBytes, receivedBytes: this.receivedBytes};
  }

  /** Queues a message; all messages of one turn share a frame. */
  send(message: PeerMessage): void {
    if (this.state !== 'open') return;
    this.outgoing.push(message);
    if (this.outgoing.length === 1)
      setImmediate(() => this.options.busyMeter.measure(() => this.flush()));
  }

  /** Sends what is queued and closes the link. */
  flushAndClose(): void {
    this.flush();
    this.close('closed_here');
  }

  close(reason: LinkCloseReason): void {
    if (this.state === 'closed') return;
    this.state = 'closed';
    clearTimeout(this.handshakeTimer);
    if (reason === 'closed_here') this.socket.close();
    else this.socket.terminate();
    this.options.events.onClose(reason);
  }

  private flush(): void {
    if (this.state !== 'open' || this.outgoing.length === 0) return;
    const messages = this.outgoing;
    this.outgoing = [];
    this.writeBytes(encodeMessages(messages));
    if (this.socket.bufferedAmount > MAX_BUFFERED_BYTES) this.close('too_slow');
  }

  private writeHandshake(handshake: unknown): void {
    this.writeBytes(encodeFrame(handshake));
  }

  private writeBytes(data: Buffer): void {
    this.sentBytes += data.length;
    this.socket.send(data);
  }

  private onFrame(data: Buffer): void {
    this.receivedBytes += data.length;
    match(this.state)
      .with('awaiting_hello', () => this.onHello(data))
      .with('awaiting_proof', () => this.onProof(data))
      .with('open', () => this.onMessages(data))
      .with('closed', () => {})
      .exhaustive();
  }

  private onHello(data: Buffer): void {
    const decoded = decodeFrame(data);
    const parsed = helloSchema.safeParse(
      decoded.ok ? decoded.value : undefined
    );
    if (!parsed.success) return this.close('malformed_frame');
    if (parsed.data.version !== PROTOCOL_VERSION) {
      return this.close('version_mismatch');
    }
    this.peerHello = parsed.data;
    this.state = 'awaiting_proof';
    const mac = computeProof(this.options.secret, this.hello, parsed.data);
    this.writeHandshake({type: 'proof', mac});
  }

  private onProof(data: Buffer): void {
    const decoded = decodeFrame(data);
    const parsed = proofSchema.safeParse(
      decoded.ok ? decoded.value : undefined
    );
    const peer = this.peerHello;
    if (!parsed.success || peer === undefined) {
      return this.close('malformed_frame');
    }
    const {secret} = this.options;
    if (!isValidProof(secret, this.hello, peer, parsed.data.mac)) {
      return this.close('unauthenticated');
    }
    clearTimeout(this.handshakeTimer);
    this.state = 'open';
    const {instance, incarnation} = peer;
    this.options.events.onOpen({instance, incarnation});
  }

  private onMessages(data: Buffer): void {
    const decoded = decodeMessages(data);
    if (!decoded.ok) return this.close('malformed_frame');
    this.options.events.onMessages(decoded.value);
  }
}
