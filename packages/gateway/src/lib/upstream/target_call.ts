import http from 'node:http';
import {EXECUTION, attemptFailure} from '../errors.js';

import type {Socket} from 'node:net';
import type {Target} from '@applebend/routing';
import type {AttemptFailure, Execution} from '../errors.js';
import type {HeaderCodec, TargetResponseHead} from '../ports.js';

/** A response whose head has arrived and whose body is unread. @public */
export interface TargetResponse {
  readonly status: number;
  readonly head: TargetResponseHead;
  readonly res: http.IncomingMessage;
  /** Whether the body arrived in full; valid once the stream has ended. */
  isComplete(): boolean;
}

/** What is sent, and to which target. @public */
export interface TargetCallOptions {
  readonly target: Target;
  readonly method: string;
  /** Path and query. */
  readonly url: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Id that a valid response carries. */
  readonly attemptId: string;
  readonly agent: http.Agent;
  readonly codec: HeaderCodec;
  /** Milliseconds until the head of the response has to arrive. */
  readonly headTimeoutMs: number;
}

/** The outcome of a call; an aborted call reports none. @public */
export interface TargetCallEvents {
  onResponse(response: TargetResponse): void;
  /** Called at most once, and only instead of `onResponse`. */
  onFailure(failure: AttemptFailure): void;
}

const CONNECT_TIMEOUT_MS = 400;
/** Misdirected Request: the server is not the addressed target. */
const STATUS_MISDIRECTED = 421;

/**
 * One request to one target, up to the head of its response.
 *
 * @public
 */
export class TargetCall {
  private readonly req: http.ClientRequest;
  private headTimer: NodeJS.Timeout | undefined;
  private connectTimer: NodeJS.Timeout | undefined;
  /** Whether the target may have received the request. */
  private sent = false;
  /** Whether a response or a failure was reported, or the call aborted. */
  private settled = false;
  private res: http.IncomingMessage | undefined;
  /** Whether the connection failed while the body was read. */
  private wasReset = false;

  private constructor(
    private readonly options: TargetCallOptions,
    private readonly events: TargetCallEvents
  ) {
    const {target, method, url, headers, agent, body} = options;
    this.req = http.request({
      host: target.host,
      port: target.port,
      method,
      path: url,
      headers,
      agent,
    });
    this.req.on('socket', socket => this.onSocket(socket));
    this.req.on('response', res => this.onHead(res));
    this.req.on('error', err => this.onError(err));
    this.headTimer = setTimeout(
      () => this.onHeadTimeout(),
      options.headTimeoutMs
    );
    this.req.end(body);
  }

  static create(
    options: TargetCallOptions,
    events: TargetCallEvents
  ): TargetCall {
    return new TargetCall(options, events);
  }

  /** Closes the connection, so that the target cancels the request. */
  abort(): void {
    this.settle();
    this.req.destroy();
  }

  private onSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.sent = true;
      return;
    }
    this.connectTimer = setTimeout(() => {
      this.fail('connect_failed', 'connection timed out');
      this.req.destroy();
    }, CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(this.connectTimer);
      this.sent = true;
    });
  }

  private onHead(res: http.IncomingMessage): void {
    res.on('error', ignoreError);
    if (this.settled) {
      res.destroy();
      return;
    }
    const status = res.statusCode ?? 0;
    const head = this.options.codec.decodeTargetResponse(
      status,
      res.rawHeaders
    );
    const fault = responseFault(status, head, this.options.attemptId);
    if (fault !== undefined) {
      this.fail(fault, `invalid response with status ${status}`);
      this.req.destroy();
      return;
    }
    if (head.notExecuted || status === STATUS_MISDIRECTED) {
      const kind = head.notExecuted ? 'not_executed' : 'wrong_target';
      res.resume();
      this.fail(kind, `not run by the target: status ${status}`);
      return;
    }
    this.settle();
    this.res = res;
    const {socket} = res;
    if (endsAtClose(res)) exposeReset(socket);
    const isComplete = () =>
      res.complete && !this.wasReset && socket.errored === null;
    this.events.onResponse({status, head, res, isComplete});
  }

  private onError(err: Error): void {
    // Node reports a reset as the end of a response that has no length.
    if (this.res?.complete === false) this.wasReset = true;
    const kind = this.sent ? 'reset' : 'connect_failed';
    this.fail(kind, err.message);
  }

  private onHeadTimeout(): void {
    this.fail('target_silent', 'no response head before the timeout');
    this.req.destroy();
  }

  private fail(kind: AttemptFailure['kind'], message: string): void {
    if (this.settled) return;
    this.settle();
    const failure = attemptFailure(kind, this.executionOf(kind), message);
    this.events.onFailure(failure);
  }

  private executionOf(kind: AttemptFailure['kind']): Execution {
    if (kind === 'not_executed' || kind === 'wrong_target') {
      return EXECUTION.notRun;
    }
    return this.sent ? EXECUTION.unknown : EXECUTION.notRun;
  }

  private settle(): void {
    this.settled = true;
    clearTimeout(this.headTimer);
    clearTimeout(this.connectTimer);
  }
}

/** Whether the body ends with the connection, for lack of any framing. */
function endsAtClose({headers}: http.IncomingMessage): boolean {
  const {'content-length': length, 'transfer-encoding': coding} = headers;
  return length === undefined && coding === undefined;
}

/**
 * Node reports a reset that arrives together with the last bytes as an ordinary
 * end of the stream. Writing an empty line, which is not a request, makes the
 * reset visible because it fails on a connection that was reset.
 */
function exposeReset(socket: Socket): void {
  socket.prependOnceListener('end', () => socket.write('\r\n'));
}

/** Why a response is not valid for this attempt, or undefined if it is. */
function responseFault(
  status: number,
  head: TargetResponseHead,
  attemptId: string
): AttemptFailure['kind'] | undefined {
  const isOwn = head.attemptId === attemptId;
  if (!isOwn && head.attemptId !== undefined) return 'crossed_answer';
  if (head.notExecuted || status === STATUS_MISDIRECTED) return undefined;
  if (!isOwn || !head.signed || head.contentEncoded) return 'bad_answer';
  return undefined;
}

/** For errors that the handlers of the request have already reported. */
function ignoreError(): void {}
