/** One request to one target, up to the head of its answer. */
import http from 'node:http';
import {EXECUTION, attemptFailure} from '../errors.js';

import type {Socket} from 'node:net';
import type {Target} from '@applebend/routing';
import type {AttemptFailure, Execution} from '../errors.js';
import type {HeaderCodec, TargetResponseHead} from '../ports.js';

/** The head of an answer; its body is still to be read. @public */
export interface TargetResponse {
  readonly status: number;
  readonly head: TargetResponseHead;
  readonly res: http.IncomingMessage;
  /** Whether all of the body has come; to be asked at its end. */
  isComplete(): boolean;
}

/** What is sent, and where. @public */
export interface TargetCallOptions {
  readonly target: Target;
  readonly method: string;
  readonly url: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  readonly attemptId: string;
  readonly agent: http.Agent;
  readonly codec: HeaderCodec;
  /** Until the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
}

/** @public */
export interface TargetCallEvents {
  onResponse(response: TargetResponse): void;
  /** Before the head only; the call is over. */
  onFailure(failure: AttemptFailure): void;
}

const CONNECT_TIMEOUT_MS = 400;
const STATUS_MISDIRECTED = 421;

/** A call under way. @public */
export class TargetCall {
  private readonly req: http.ClientRequest;
  private headTimer: NodeJS.Timeout | undefined;
  private connectTimer: NodeJS.Timeout | undefined;
  private sent = false;
  private settled = false;
  private res: http.IncomingMessage | undefined;
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

  /** Closes the connection, so that the target drops the request. */
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
      this.fail('connect_failed', 'no connection in time');
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
    const answer = this.options.codec.decodeTargetResponse(
      status,
      res.rawHeaders
    );
    const fault = responseFault(status, answer, this.options.attemptId);
    if (fault !== undefined) {
      this.fail(fault, `unusable answer with ${status}`);
      this.req.destroy();
      return;
    }
    if (answer.notExecuted || status === STATUS_MISDIRECTED) {
      const kind = answer.notExecuted ? 'not_executed' : 'wrong_target';
      res.resume();
      this.fail(kind, `refused with ${status}`);
      return;
    }
    this.settle();
    this.res = res;
    const {socket} = res;
    if (endsAtClose(res)) exposeReset(socket);
    const isComplete = () =>
      res.complete && !this.wasReset && socket.errored === null;
    this.events.onResponse({status, head: answer, res, isComplete});
  }

  private onError(err: Error): void {
    // Node takes a reset for the end of an answer that has no length.
    if (this.res?.complete === false) this.wasReset = true;
    const kind = this.sent ? 'reset' : 'connect_failed';
    this.fail(kind, err.message);
  }

  private onHeadTimeout(): void {
    this.fail('target_silent', 'no answer in time');
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

/** Whether only the end of the connection ends the body. */
function endsAtClose({headers}: http.IncomingMessage): boolean {
  const {'content-length': length, 'transfer-encoding': coding} = headers;
  return length === undefined && coding === undefined;
}

/**
 * A reset that arrives together with the last bytes is reported as an ordinary
 * end of the stream. Writing an empty line, which is no request, fails on a
 * connection that was reset.
 */
function exposeReset(socket: Socket): void {
  socket.prependOnceListener('end', () => socket.write('\r\n'));
}

/** Why an answer cannot be the target's answer to this attempt. */
function responseFault(
  status: number,
  answer: TargetResponseHead,
  attemptId: string
): AttemptFailure['kind'] | undefined {
  const isOwn = answer.attemptId === attemptId;
  if (!isOwn && answer.attemptId !== undefined) return 'crossed_answer';
  if (answer.notExecuted || status === STATUS_MISDIRECTED) return undefined;
  if (!isOwn || !answer.signed || answer.contentEncoded) return 'bad_answer';
  return undefined;
}

/** The request's own handlers have seen the failure already. */
function ignoreError(): void {}
