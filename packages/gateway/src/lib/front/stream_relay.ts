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
  readonly pauseLimitMs: number;
  onDone(): void;
  onBroken(message: string): void;
  onPause(): void;
}

/** @public */
export class StreamRelay {
  private last: string | undefined;
  private source: http.IncomingMessage | undefined;
  private pauseTimer: NodeJS.Timeout | undefined;
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
  get lastId(): string | undefined {
    return this.last;
  }

  /** Goes on with the answer of a target. */
  attach(response: TargetResponse, closing: boolean): void {
    this.detach();
    const {res: from, answer, status} = response;
    this.source = from;
    this.splitter = EventSplitter.create();
    if (!this.res.headersSent) {
      const headers = [...answer.headers];
      if (closing) headers.push('Connection', 'close');
      this.res.writeHead(status, headers);
      this.res.flushHeaders();
    }
    from.on('data', (chunk: Buffer) => this.onData(from, chunk));
    from.on('end', () => this.onEnd(response));
    from.on('close', () => this.onClose(from));
    this.pauseTimer = setTimeout(
      () => this.options.onPause(),
      this.options.pauseLimitMs
    );
  }

  /** Stops listening to the target at hand. */
  detach(): void {
    const {source} = this;
    this.source = undefined;
    clearTimeout(this.pauseTimer);
    if (source !== undefined && !source.complete) source.destroy();
  }

  private onData(from: http.IncomingMessage, chunk: Buffer): void {
    if (from !== this.source) return;
    this.pauseTimer?.refresh();
    const whole = this.splitter.push(chunk);
    if (whole === undefined) return;
    this.last = whole.lastId ?? this.last;
    if (this.res.write(whole.bytes)) return;
    from.pause();
    this.res.once('drain', () => from.resume());
  }

  private onEnd({res: from, isWhole}: TargetResponse): void {
    if (from !== this.source || !isWhole()) return;
    if (this.splitter.hasPartialEvent) {
      this.fail('the stream ended within an event');
      return;
    }
    this.detach();
    this.res.end();
    this.options.onDone();
  }

  private onClose(from: http.IncomingMessage): void {
    if (from === this.source) this.fail('the stream broke off');
  }

  private fail(message: string): void {
    this.detach();
    this.options.onBroken(message);
  }
}
