/**
 * Passes a stream of events on, whole events only. A stream that breaks off
 * can go on with the answer of another target; the caller then sees one
 * stream.
 */
import {EventSplitter} from '../upstream/event_splitter.js';

import type http from 'node:http';
import type {TargetResponse} from '../upstream/target_call.js';

/** @public */
export interface StreamRelayOptions {
  /** Silence, in milliseconds, after which `onPause` is called. */
  readonly stallTimeoutMs: number;
  onDone(): void;
  onAborted(message: string): void;
  onStall(): void;
}

/** @public */
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

  /** Id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.lastSentId;
  }

  /** Goes on with the answer of a target. */
  attach(response: TargetResponse, closeConnection: boolean): void {
    this.detach();
    const {res: from, head, status} = response;
    this.upstream = from;
    this.splitter = EventSplitter.create();
    if (!this.res.headersSent) {
      const headers = [...head.headers];
      if (closeConnection) headers.push('Connection', 'close');
      this.res.writeHead(status, headers);
      this.res.flushHeaders();
    }
    from.on('data', (chunk: Buffer) => this.onData(from, chunk));
    from.on('end', () => this.onEnd(response));
    from.on('close', () => this.onClose(from));
    this.stallTimer = setTimeout(
      () => this.options.onStall(),
      this.options.stallTimeoutMs
    );
  }

  /** Stops listening to the target at hand. */
  detach(): void {
    const {upstream} = this;
    this.upstream = undefined;
    clearTimeout(this.stallTimer);
    if (upstream !== undefined && !upstream.complete) upstream.destroy();
  }

  private onData(from: http.IncomingMessage, chunk: Buffer): void {
    if (from !== this.upstream) return;
    this.stallTimer?.refresh();
    const events = this.splitter.push(chunk);
    if (events === undefined) return;
    this.lastSentId = events.lastId ?? this.lastSentId;
    if (this.res.write(events.bytes)) return;
    from.pause();
    this.res.once('drain', () => from.resume());
  }

  private onEnd({res: from, isComplete}: TargetResponse): void {
    if (from !== this.upstream || !isComplete()) return;
    if (this.splitter.hasPartialEvent) {
      this.fail('the stream ended within an event');
      return;
    }
    this.detach();
    this.res.end();
    this.options.onDone();
  }

  private onClose(from: http.IncomingMessage): void {
    if (from === this.upstream) this.fail('the stream broke off');
  }

  private fail(message: string): void {
    this.detach();
    this.options.onAborted(message);
  }
}
