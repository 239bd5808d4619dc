import {GrowingBuffer} from '@applebend/utils';
import {isFollowed} from './caller_connection.js';

import type http from 'node:http';
import type {MemoryClaim} from '@applebend/routing';
import type {Contain} from '@applebend/utils';
import type {TargetResponse} from '../upstream/target_call.js';

/** At most one of these is called, and only once. @public */
export interface BufferedRelayEvents {
  /** Called when the response is complete and forwarded. */
  onDone(): void;
  /** Called if the response ends early. */
  onAborted(): void;
}

/** Larger responses are forwarded as they arrive. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/**
 * Relays a response once it is complete, with its length. If a response that
 * was not yet forwarded ends early, the request can still be retried.
 *
 * @public
 */
export class BufferedRelay {
  private readonly body = GrowingBuffer.create(MAX_BUFFERED_BYTES);
  private ended = false;
  private isStreaming = false;

  private constructor(
    private readonly response: TargetResponse,
    private readonly res: http.ServerResponse,
    private readonly closeConnection: boolean,
    private readonly events: BufferedRelayEvents,
    private readonly claim: MemoryClaim,
    contain: Contain
  ) {
    const from = response.res;
    // Also what the caller has not read yet is held.
    res.once('close', () => claim.release());
    from.on(
      'data',
      contain((chunk: Buffer) => this.onData(chunk))
    );
    from.on(
      'end',
      contain(() => this.onEnd())
    );
    from.on(
      'close',
      contain(() => this.onClose())
    );
  }

  /**
   * Starts to relay a response.
   *
   * @param closeConnection - whether to ask the caller to close its connection
   * @param claim - counts what is held of the response
   * @param contain - wraps the handlers of events
   */
  static create(
    response: TargetResponse,
    res: http.ServerResponse,
    closeConnection: boolean,
    events: BufferedRelayEvents,
    claim: MemoryClaim,
    contain: Contain
  ): BufferedRelay {
    return new BufferedRelay(
      response,
      res,
      closeConnection,
      events,
      claim,
      contain
    );
  }

  private onData(chunk: Buffer): void {
    if (this.ended) return;
    if (this.isStreaming) {
      this.forward(chunk);
      return;
    }
    if (this.hasRoomFor(chunk)) {
      this.body.add(chunk);
      return;
    }
    this.isStreaming = true;
    this.writeHead(undefined);
    if (this.body.length > 0) this.forward(this.body.bytes);
    this.forward(chunk);
    this.body.clear();
  }

  private hasRoomFor({length}: Buffer): boolean {
    if (this.body.length + length > MAX_BUFFERED_BYTES) return false;
    return this.claim.growTo(this.body.capacityWith(length));
  }

  private forward(chunk: Buffer): void {
    const from = this.response.res;
    if (this.res.write(chunk)) return;
    from.pause();
    this.res.once('drain', () => from.resume());
  }

  private onEnd(): void {
    if (this.ended || !this.response.isComplete()) return;
    this.ended = true;
    if (this.isStreaming) {
      this.res.end();
    } else {
      this.writeHead(this.body.length);
      this.res.end(this.body.bytes);
    }
    this.events.onDone();
  }

  private onClose(): void {
    if (this.ended) return;
    this.ended = true;
    this.claim.release();
    if (this.isStreaming) this.res.destroy();
    this.events.onAborted();
  }

  private writeHead(length: number | undefined): void {
    const {head, status} = this.response;
    const headers = [...head.headers];
    if (length !== undefined) headers.push('Content-Length', String(length));
    if (this.closeConnection && !isFollowed(this.res)) {
      headers.push('Connection', 'close');
    }
    this.res.writeHead(status, headers);
  }
}
