import {EventSplitter} from '../upstream/event_splitter.js';
import {isFollowed} from './caller_connection.js';

import type http from 'node:http';
import type {Contain} from '@applebend/utils';
import type {TargetResponse} from '../upstream/target_call.js';

/** When a relayed stream stalls, and what to call. @public */
export interface StreamRelayOptions {
  /** Milliseconds without a whole event after which `onStall` is called. */
  readonly stallTimeoutMs: number;
  /** Called when the stream is complete. */
  onDone(): void;
  /** Called if the stream ends early. */
  onAborted(message: string): void;
  /** Called when complete events with data arrived. */
  onEvents(): void;
  /**
   * Called when no event arrived in time, and again after each further such
   * time; the stream stays attached.
   */
  onStall(): void;
  /** Wraps the handlers of events. */
  readonly contain: Contain;
}

/**
 * Relays a stream of events, complete events only. If a stream ends early, the
 * response of another target can be attached; the caller sees a single stream.
 *
 * @public
 */
export class StreamRelay {
  private lastSentId: string | undefined;
  private upstream: http.IncomingMessage | undefined;
  private stallTimer: NodeJS.Timeout | undefined;
  private splitter = EventSplitter.create();

  private constructor(
    private readonly res: http.ServerResponse,
    private readonly options: StreamRelayOptions
  ) {}

  static create(
    res: http.ServerResponse,
    options: StreamRelayOptions
  ): StreamRelay {
    return new StreamRelay(res, options);
  }

  /** Id of the last event that was forwarded. */
  get lastEventId(): string | undefined {
    return this.lastSentId;
  }

  /**
   * Starts the stream with the response of a target, or continues it.
   *
   * @param closeConnection - whether to ask the caller to close its connection
   */
  attach(response: TargetResponse, closeConnection: boolean): void {
    this.detach();
    const {res: from, head, status} = response;
    this.upstream = from;
    this.splitter = EventSplitter.create();
    if (!this.res.headersSent) {
      const headers = [...head.headers];
      if (closeConnection && !isFollowed(this.res)) {
        headers.push('Connection', 'close');
      }
      this.res.writeHead(status, headers);
      this.res.flushHeaders();
    }
    const {contain} = this.options;
    from.on(
      'data',
      contain((chunk: Buffer) => this.onData(from, chunk))
    );
    from.on(
      'end',
      contain(() => this.onEnd(response))
    );
    from.on(
      'close',
      contain(() => this.onClose(from))
    );
    this.startStallTimer();
  }

  /** Stops reading from the current target; closes an incomplete response. */
  detach(): void {
    const {upstream} = this;
    this.upstream = undefined;
    clearInterval(this.stallTimer);
    if (upstream !== undefined && !upstream.complete) upstream.destroy();
  }

  private onData(from: http.IncomingMessage, chunk: Buffer): void {
    if (from !== this.upstream) return;
    const events = this.splitter.push(chunk);
    if (this.splitter.isOverLimit) {
      this.fail('event too long');
      return;
    }
    if (events === undefined) return;
    // A comment or a part of an event keeps no stalled stream alive.
    if (events.hasData) {
      this.stallTimer?.refresh();
      this.options.onEvents();
    }
    this.lastSentId = events.lastId ?? this.lastSentId;
    if (!this.res.write(events.bytes)) this.holdBack(from);
  }

  /** Waits for a caller that reads slowly; its target has not stalled meanwhile. */
  private holdBack(from: http.IncomingMessage): void {
    from.pause();
    clearInterval(this.stallTimer);
    const resume = () => {
      if (from !== this.upstream) return;
      this.startStallTimer();
      from.resume();
    };
    this.res.once('drain', this.options.contain(resume));
  }

  private startStallTimer(): void {
    const {contain, stallTimeoutMs, onStall} = this.options;
    clearInterval(this.stallTimer);
    this.stallTimer = setInterval(contain(onStall), stallTimeoutMs);
  }

  private onEnd({res: from, isComplete}: TargetResponse): void {
    if (from !== this.upstream || !isComplete()) return;
    if (this.splitter.hasPartialEvent) {
      this.fail('stream ended within an event');
      return;
    }
    this.detach();
    this.res.end();
    this.options.onDone();
  }

  private onClose(from: http.IncomingMessage): void {
    if (from === this.upstream) this.fail('stream ended early');
  }

  private fail(message: string): void {
    this.detach();
    this.options.onAborted(message);
  }
}
