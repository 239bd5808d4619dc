/**
 * Passes a target's answer on to the caller, with the caller's speed setting
 * the pace, and tells a whole answer from one that broke off.
 */
import {EngineStream, parseUsage} from '@applebend/externals';
import {errorMessage} from '@applebend/utils';

import type {IncomingMessage} from 'node:http';
import type {EngineUsage} from '@applebend/externals';
import type {Clock} from '@applebend/utils';
import type {AnswerHeaders, Caller} from './caller.js';

/** How the passing on of an answer ended. @public */
export type RelayEnd =
  | {readonly type: 'whole'; readonly answer: WholeAnswer}
  | {readonly type: 'broke'; readonly message: string}
  | {readonly type: 'caller_gone'};

/** What is known of an answer that ended. @public */
export interface WholeAnswer {
  readonly status: number;
  readonly contentType: string;
  /** The body, when it was small enough to be held. */
  readonly body: string | undefined;
  readonly usage: EngineUsage | undefined;
}

/** What a relay is made from. @public */
export interface RelayParts {
  readonly caller: Caller;
  readonly clock: Clock;
  /** Called once, just before the first byte for the caller. */
  readonly onBegin: () => void;
  /** Called as tokens pass. */
  readonly onTokens: (stream: EngineStream) => void;
}

const MAX_HELD_BYTES = 256 * 1024;
const EVENT_STREAM = 'text/event-stream';

/** Headers that belong to one connection only. */
const HOP_HEADERS = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Headers that may cross from one connection to another. @public */
export function endToEndHeaders(headers: AnswerHeaders): AnswerHeaders {
  const kept = Object.entries(headers).filter(
    ([name]) => !HOP_HEADERS.has(name)
  );
  return Object.fromEntries(kept);
}

/** Passes on one answer, over one or more connections. @public */
export class AnswerRelay {
  readonly stream: EngineStream;

  private constructor(private readonly parts: RelayParts) {
    this.stream = EngineStream.create(parts.clock.monotonicMs());
  }

  static create(parts: RelayParts): AnswerRelay {
    return new AnswerRelay(parts);
  }

  /** Passes on an answer, or the continuation of one. */
  pass(res: IncomingMessage): Promise<RelayEnd> {
    const type = res.headers['content-type'] ?? '';
    return type.startsWith(EVENT_STREAM)
      ? this.passEvents(res)
      : this.passBody(res);
  }

  private async passEvents(res: IncomingMessage): Promise<RelayEnd> {
    const {caller, clock, onTokens} = this.parts;
    try {
      for await (const chunk of res) {
        const nowMs = clock.monotonicMs();
        const events = this.stream.push(chunk as Buffer, nowMs);
        if (events === undefined) return broke('an event is too large');
        if (events.length === 0) continue;
        this.begin(res, {});
        onTokens(this.stream);
        await this.write(res, events.map(event => event.raw).join(''));
        if (caller.gone.aborted) return {type: 'caller_gone'};
        if (this.stream.complete) break;
      }
    } catch (err) {
      if (caller.gone.aborted) return {type: 'caller_gone'};
      return broke(errorMessage(err));
    }
    if (!this.stream.complete) return broke('the stream ended without its end');
    caller.end();
    const {inputTokens = 0, outputTokens} = this.stream;
    return this.whole(res, undefined, {inputTokens, outputTokens});
  }

  private async passBody(res: IncomingMessage): Promise<RelayEnd> {
    const {caller} = this.parts;
    let held: Buffer[] = [];
    let heldBytes = 0;
    let streaming = false;
    try {
      for await (const part of res) {
        const chunk = part as Buffer;
        if (streaming) {
          await this.write(res, chunk);
        } else {
          held.push(chunk);
          heldBytes += chunk.length;
          if (heldBytes <= MAX_HELD_BYTES) continue;
          streaming = true;
          this.begin(res, res.headers);
          await this.write(res, Buffer.concat(held));
          held = [];
        }
        if (caller.gone.aborted) return {type: 'caller_gone'};
      }
    } catch (err) {
      if (caller.gone.aborted) return {type: 'caller_gone'};
      return broke(errorMessage(err));
    }
    if (!res.complete) return broke('the answer ended early');
    if (streaming) {
      caller.end();
      return this.whole(res, undefined, undefined);
    }
    const body = Buffer.concat(held);
    this.begin(res, {...res.headers, 'content-length': String(body.length)});
    caller.end(body);
    return this.whole(res, body.toString('utf8'), parseUsage(body));
  }

  /** While the caller is slow, the target's silence is no stall. */
  private async write(
    res: IncomingMessage,
    part: Uint8Array | string
  ): Promise<void> {
    const {socket} = res;
    const stallTimeoutMs = socket.timeout ?? 0;
    socket.setTimeout(0);
    await this.parts.caller.write(part);
    socket.setTimeout(stallTimeoutMs);
  }

  private begin(res: IncomingMessage, headers: AnswerHeaders): void {
    if (this.parts.caller.begun) return;
    this.parts.onBegin();
    const contentType = res.headers['content-type'];
    this.parts.caller.begin(res.statusCode ?? 0, {
      ...endToEndHeaders(headers),
      'content-type': contentType,
    });
  }

  private whole(
    res: IncomingMessage,
    body: string | undefined,
    usage: EngineUsage | undefined
  ): RelayEnd {
    const status = res.statusCode ?? 0;
    const contentType = res.headers['content-type'] ?? '';
    return {type: 'whole', answer: {status, contentType, body, usage}};
  }
}

function broke(message: string): RelayEnd {
  return {type: 'broke', message};
}
