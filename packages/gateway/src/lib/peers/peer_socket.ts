import dgram from 'node:dgram';
import {containFaults, errorMessage} from '@applebend/utils';
import {unpackMessage} from './wire_rows.js';

import type {Logger} from '@applebend/telemetry';
import type {PeerAddress} from '../ports.js';

/** Handles an unpacked message; returns false if it is malformed. @public */
export type PeerHandler = (
  wire: readonly unknown[],
  from: PeerAddress
) => boolean;

/** The UDP socket over which instances exchange messages. @public */
export class PeerSocket {
  private readonly socket = dgram.createSocket('udp4');
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
    this.socket.on('error', err =>
      log.warn('peer socket error', {cause: errorMessage(err)})
    );
  }

  static create(log: Logger): PeerSocket {
    return new PeerSocket(log);
  }

  open({host, port}: PeerAddress): void {
    this.socket.bind(port, host);
  }

  /** Repeated calls have no effect. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
  }

  /** Sets the handler for messages of one kind. */
  handle(kind: number, handler: PeerHandler): void {
    this.handlers.set(kind, handler);
  }

  /**
   * Sends a datagram. Does nothing once the socket is closed, because a
   * response may still be in preparation then.
   */
  send(bytes: Buffer, {host, port}: PeerAddress): void {
    if (this.isClosed) return;
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
