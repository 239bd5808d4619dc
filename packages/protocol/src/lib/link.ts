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

/** Callbacks of a link. @public */
export interface LinkCallbacks {
  /** Called once both sides are authenticated. */
  onOpen(peer: PeerIdentity): void;
  /** Called with the messages of one frame, in the order of sending. */
  onMessages(messages: readonly PeerMessage[]): void;
  /** Called once, also when the handshake fails. */
  onClose(reason: LinkCloseReason): void;
}

/** The settings and callbacks of a link. @public */
export interface LinkOptions {
  /** How this instance identifies itself. */
  readonly identity: PeerIdentity;
  /** The secret that all instances share. */
  readonly secret: string;
  readonly events: LinkCallbacks;
  /** Adds up the time spent on sending and handling frames. */
  readonly busyMeter: BusyMeter;
}

/** Bytes sent and received over a link, handshake included. @public */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Time from the creation of a link until the peer has to be authenticated. */
const HANDSHAKE_TIMEOUT_MS = 3000;
/** A link with more unsent bytes is closed as `too_slow`. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

type LinkState = 'awaiting_hello' | 'awaiting_proof' | 'open' | 'closed';

/**
 * An authenticated link between two instances over a WebSocket. Each side sends
 * a hello, then a proof over both hellos, then frames of messages. The link
 * closes on a malformed frame, an invalid proof, or a peer that reads too
 * slowly.
 *
 * @public
 */
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

  /** Creates a link on an open socket and starts the handshake. */
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

  /** The traffic so far; it stays readable after the link closed. */
  get traffic(): LinkTraffic {
    return {sentBytes: this.sentBytes, receivedBytes: this.receivedBytes};
  }

  /**
   * Queues a message. Messages queued in the same turn of the event loop share
   * a frame. A message is dropped if the link is not open.
   */
  send(message: PeerMessage): void {
    if (this.state !== 'open') return;
    this.outgoing.push(message);
    if (this.outgoing.length === 1)
      setImmediate(() => this.options.busyMeter.measure(() => this.flush()));
  }

  /** Sends the queued messages and closes the link. */
  flushAndClose(): void {
    this.flush();
    this.close('closed_here');
  }

  /**
   * Closes the link and drops queued messages. The socket is closed gracefully
   * only for the reason `closed_here`.
   */
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
