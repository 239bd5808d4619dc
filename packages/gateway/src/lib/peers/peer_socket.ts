import dgram from 'node:dgram';
import {
  containFaults,
  errorMessage,
  logServerErrors,
  openPort,
  settle,
} from '@applebend/utils';
import {unpackMessage} from './wire_rows.js';

import type {Logger} from '@applebend/telemetry';
import type {PortOptions} from '@applebend/utils';
import type {PeerAddress} from '../ports.js';

/** Handles an unpacked message; returns false if it is malformed. @public */
export type PeerHandler = (
  wire: readonly unknown[],
  from: PeerAddress
) => boolean;

/** The UDP socket over which instances exchange messages. @public */
export class PeerSocket {
  private readonly socket = dgram.createSocket('udp4');
  private isOpen = false;
  private isClosed = false;
  private readonly handlers = new Map<unknown, PeerHandler>();

  private constructor(private readonly log: Logger) {
    const contain = containFaults(err =>
      log.error('peer message fault', {cause: errorMessage(err)})
    );
    this.socket.on(
      'message',
      contain((bytes: Buffer, {address, port}: dgram.RemoteInfo) =>
        this.onDatagram(bytes, {host: address, port})
      )
    );
  }

  static create(log: Logger): PeerSocket {
    return new PeerSocket(log);
  }

  /** Resolves when the port is open, see `openPort`. */
  async open(port: PortOptions): Promise<void> {
    const bind = () => this.socket.bind(port.port, port.host);
    await openPort(() => settle(this.socket, bind), port);
    logServerErrors(this.socket, port.purpose, this.log);
    this.isOpen = true;
  }

  /** Repeated calls have no effect. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.isOpen = false;
    this.socket.close();
  }

  /** Sets the handler for messages of one kind. */
  handle(kind: number, handler: PeerHandler): void {
    this.handlers.set(kind, handler);
  }

  /**
   * Sends a datagram. Does nothing before the port is open, because a send
   * would bind the socket to another one, where no peer reaches it; nor once it
   * is closed, because a response may still be in preparation then.
   */
  send(bytes: Buffer, {host, port}: PeerAddress): void {
    if (!this.isOpen) return;
    try {
      this.socket.send(bytes, port, host, this.onSent);
    } catch (err) {
      // Thrown for an address that cannot be used; other peers are sent theirs.
      this.log.warn('unusable peer address', {
        host,
        port,
        cause: errorMessage(err),
      });
    }
  }

  private readonly onSent = (err: Error | null): void => {
    if (err === null) return;
    this.log.warn('sending a peer message failed', {cause: err.message});
  };

  private onDatagram(bytes: Buffer, from: PeerAddress): void {
    const wire = unpackMessage(bytes);
    const handler = this.handlers.get(wire?.[0]);
    if (wire !== undefined && handler?.(wire, from) === true) return;
    this.log.warn('malformed peer message', {...from});
  }
}
