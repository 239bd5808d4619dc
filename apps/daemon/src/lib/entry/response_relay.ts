import {EngineStream, parseUsage} from '@applebend/externals';
import {errorMessage} from '@applebend/utils';

import type {IncomingMessage} from 'node:http';
import type {EngineUsage} from '@applebend/externals';
import type {Clock, ReceivedResponse} from '@applebend/utils';
import type {HttpHeaders, Caller} from './caller.js';

/** How the relaying of a response ended. @public */
export type RelayOutcome =
  | {readonly type: 'complete'; readonly response: CompleteResponse}
  | {readonly type: 'interrupted'; readonly message: string}
  | {readonly type: 'caller_gone'};

/** A response that was relayed to its end. @public */
export interface CompleteResponse {
  readonly status: number;
  readonly contentType: string;
  /** Undefined for event streams and for bodies too large to buffer. */
  readonly body: string | undefined;
  readonly usage: EngineUsage | undefined;
}

/** @public */
export interface ResponseRelayOptions {
  readonly caller: Caller;
  readonly clock: Clock;
  /** Called once, before the first byte is written to the caller. */
  readonly onResponseStart: () => void;
  /** Called after each chunk that completes events. */
  readonly onTokens: (stream: EngineStream) => void;
}

/** A larger body is passed on while it is received. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const EVENT_STREAM_TYPE = 'text/event-stream';

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Returns the headers that may be forwarded. @public */
export function endToEndHeaders(headers: HttpHeaders): HttpHeaders {
  const endToEnd = Object.entries(headers).filter(
    ([name]) => !HOP_BY_HOP_HEADERS.has(name)
  );
  return Object.fromEntries(endToEnd);
}

/**
 * Relays the response to one request from target to caller, over several
 * connections if it is resumed. Reads from the target only as fast as the
 * caller accepts data, and detects responses that end early.
 *
 * @public
 */
export class ResponseRelay {
  readonly stream: EngineStream;

  private constructor(private readonly options: ResponseRelayOptions) {
    this.stream = EngineStream.create(options.clock.monotonicMs());
  }

  static create(options: ResponseRelayOptions): ResponseRelay {
    return new ResponseRelay(options);
  }

  /** Relays a response, or the rest of one that was resumed. */
  forward(received: ReceivedResponse): Promise<RelayOutcome> {
    const {res} = received;
    const type = res.headers['content-type'] ?? '';
    return type.startsWith(EVENT_STREAM_TYPE)
      ? this.relayEventStream(res)
      : this.relayBody(received);
  }

  private async relayEventStream(res: IncomingMessage): Promise<RelayOutcome> {
    const {caller, clock, onTokens} = this.options;
    try {
      for await (const chunk of res) {
        const nowMs = clock.monotonicMs();
        const events = this.stream.push(chunk as Buffer, nowMs);
        if (events === undefined) return interrupted('an event is too large');
        if (events.length === 0) continue;
        this.startResponse(res, {});
        onTokens(this.stream);
        await this.write(res, events.map(event => event.raw).join(''));
        if (caller.gone.aborted) return {type: 'caller_gone'};
        if (this.stream.complete) break;
      }
    } catch (err) {
      if (caller.gone.aborted) return {type: 'caller_gone'};
      return interrupted(errorMessage(err));
    }
    if (!this.stream.complete)
      return interrupted('the stream ended without its end');
    caller.end();
    const {inputTokens = 0, outputTokens} = this.stream;
    return this.completed(res, undefined, {inputTokens, outputTokens});
  }

  private async relayBody({
    res,
    isComplete,
  }: ReceivedResponse): Promise<RelayOutcome> {
    const {caller} = this.options;
    let buffered: Buffer[] = [];
    let bufferedBytes = 0;
    let streaming = false;
    try {
      for await (const data of res) {
        const chunk = data as Buffer;
        if (streaming) {
          await this.write(res, chunk);
        } else {
          buffered.push(chunk);
          bufferedBytes += chunk.length;
          if (bufferedBytes <= MAX_BUFFERED_BYTES) continue;
          streaming = true;
          this.startResponse(res, res.headers);
          await this.write(res, Buffer.concat(buffered));
          buffered = [];
        }
        if (caller.gone.aborted) return {type: 'caller_gone'};
      }
    } catch (err) {
      if (caller.gone.aborted) return {type: 'caller_gone'};
      return interrupted(errorMessage(err));
    }
    if (!isComplete()) return interrupted('the answer ended early');
    if (streaming) {
      caller.end();
      return this.completed(res, undefined, undefined);
    }
    const body = Buffer.concat(buffered);
    this.startResponse(res, {
      ...res.headers,
      'content-length': String(body.length),
    });
    caller.end(body);
    return this.completed(res, body.toString('utf8'), parseUsage(body));
  }

  /** Suspends the stall timeout of the target while the caller is slow. */
  private async write(
    res: IncomingMessage,
    data: Uint8Array | string
  ): Promise<void> {
    const {socket} = res;
    const stallTimeoutMs = socket.timeout ?? 0;
    socket.setTimeout(0);
    await this.options.caller.write(data);
    socket.setTimeout(stallTimeoutMs);
  }

  private startResponse(res: IncomingMessage, headers: HttpHeaders): void {
    if (this.options.caller.responseStarted) return;
    this.options.onResponseStart();
    const contentType = res.headers['content-type'];
    this.options.caller.startResponse(res.statusCode ?? 0, {
      ...endToEndHeaders(headers),
      'content-type': contentType,
    });
  }

  private completed(
    res: IncomingMessage,
    body: string | undefined,
    usage: EngineUsage | undefined
  ): RelayOutcome {
    const status = res.statusCode ?? 0;
    const contentType = res.headers['content-type'] ?? '';
    return {type: 'complete', response: {status, contentType, body, usage}};
  }
}

function interrupted(message: string): RelayOutcome {
  return {type: 'interrupted', message};
}
