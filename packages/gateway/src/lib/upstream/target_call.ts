import http from 'node:http';
import {
  errorMessage,
  fail,
  isInvalidResponseError,
  ok,
  receiveResponse,
} from '@applebend/utils';
import {attemptFailure} from '../errors.js';
import {
  EXECUTION,
  executionAtTarget,
  STATUS_MISDIRECTED,
} from '../execution.js';
import {drainBody} from './drain_body.js';
import {responseFault} from './response_fault.js';

import type {Socket} from 'node:net';
import type {Target} from '@applebend/routing';
import type {Contain, ReceivedResponse, Result} from '@applebend/utils';
import type {AttemptFailure} from '../errors.js';
import type {Execution} from '../execution.js';
import type {HeaderCodec, TargetResponseHead, TargetSignals} from '../ports.js';

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
  /**
   * Milliseconds without the head of a response after which `onSilence` is
   * called; undefined if nothing would follow from it.
   */
  readonly silenceMs: number | undefined;
  /** Asked when a new connection is open, before the request is written to it. */
  readonly maySend: () => boolean;
  /** Wraps the handlers of events. */
  readonly contain: Contain;
}

/** The outcome of a call; an aborted call reports none. @public */
export interface TargetCallEvents {
  onResponse(response: TargetResponse): void;
  /** Called before the outcome, with what the target says of itself. */
  onSignals(signals: TargetSignals): void;
  /**
   * Called when the head of the response is late, and again after each further
   * such time. The call goes on unless it is aborted.
   */
  onSilence(): void;
  /** Called at most once, and only instead of `onResponse`. */
  onFailure(failure: AttemptFailure): void;
  /**
   * Called once if the call held a body, when the body is written or the
   * connection is closed; this may be after the response.
   */
  onBodyDropped(): void;
}

/** Why a request could not be opened. */
interface UnusableAddress {
  readonly kind: 'unusable_address';
  readonly message: string;
}

/** A connection to a target is given up after this time. @public */
export const CONNECT_TIMEOUT_MS = 400;
/**
 * A target may answer before it has read a body. The unwritten rest stays in
 * memory: if it is not read within this time, the connection is closed.
 */
const UNREAD_BODY_MS = 500;
/** Failures in which the target says that it did not run the request. */
const NOT_RUN_KINDS: ReadonlySet<AttemptFailure['kind']> = new Set([
  'not_executed',
  'target_paused',
  'wrong_target',
]);

/**
 * One request to one target, up to the head of its response.
 *
 * @public
 */
export class TargetCall {
  private readonly options: TargetCallOptions;
  /** Undefined if no connection can be opened to the target's address. */
  private readonly req: http.ClientRequest | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private connectTimer: NodeJS.Timeout | undefined;
  /** Whether the target may have received the request. */
  private sent = false;
  private unreadTimer: NodeJS.Timeout | undefined;
  private isBodyHeld = false;
  /** Whether a response or a failure was reported, or the call aborted. */
  private settled = false;

  private constructor(
    options: TargetCallOptions,
    private readonly events: TargetCallEvents
  ) {
    // Whoever does not read the response must not keep the request's body.
    this.options = {...options, body: undefined};
    const {contain} = options;
    const opened = openRequest(options);
    if (!opened.ok) {
      const {message} = opened.err;
      setImmediate(contain(() => this.fail('connect_failed', message)));
      return;
    }
    const req = opened.value;
    this.req = req;
    req.on(
      'socket',
      contain((socket: Socket) => this.onSocket(socket))
    );
    receiveResponse(req, {
      onResponse: contain(received => this.onHead(received, req.reusedSocket)),
      onError: contain(err => this.onError(err)),
    });
    const {silenceMs} = options;
    if (silenceMs !== undefined) {
      const onSilence = contain(() => events.onSilence());
      this.silenceTimer = setInterval(onSilence, silenceMs);
    }
    if (options.body !== undefined) this.watchBody(req);
    req.end(options.body);
  }

  static create(
    options: TargetCallOptions,
    events: TargetCallEvents
  ): TargetCall {
    return new TargetCall(options, events);
  }

  /** Whether the target may have received the request. */
  get isSent(): boolean {
    return this.sent;
  }

  /** Whether the body of the request is not fully written. */
  get holdsBody(): boolean {
    return this.isBodyHeld;
  }

  /** Closes the connection, so that the target cancels the request. */
  abort(): void {
    this.settle();
    this.req?.destroy();
  }

  private watchBody(req: http.ClientRequest): void {
    this.isBodyHeld = true;
    const onDropped = this.options.contain(() => this.onBodyDropped());
    req.on('finish', onDropped);
    req.on('close', onDropped);
  }

  private onBodyDropped(): void {
    if (!this.isBodyHeld) return;
    this.isBodyHeld = false;
    clearTimeout(this.unreadTimer);
    this.events.onBodyDropped();
  }

  /** Limits the time for which a target that has answered may leave a body unread. */
  private limitUnread(): void {
    if (!this.isBodyHeld) return;
    this.unreadTimer = setTimeout(() => this.req?.destroy(), UNREAD_BODY_MS);
  }

  private onSocket(socket: Socket): void {
    // A connection that fails at once is destroyed before this is called.
    if (socket.destroyed) return;
    if (!socket.connecting) {
      this.sent = true;
      return;
    }
    const {contain} = this.options;
    const onTimeout = contain(() => this.withdraw('connection timed out'));
    this.connectTimer = setTimeout(onTimeout, CONNECT_TIMEOUT_MS);
    const onConnect = contain(() => this.onConnect());
    socket.once('connect', onConnect);
  }

  private onConnect(): void {
    clearTimeout(this.connectTimer);
    if (this.options.maySend()) this.sent = true;
    else this.withdraw('target left while the connection was opened');
  }

  /** Ends the call before anything is written. */
  private withdraw(message: string): void {
    this.fail('connect_failed', message);
    this.req?.destroy();
  }

  private onHead(
    {res, isComplete}: ReceivedResponse,
    isReusedSocket: boolean
  ): void {
    res.on('error', ignoreError);
    res.on('end', () => this.limitUnread());
    if (this.settled) {
      res.destroy();
      return;
    }
    const status = res.statusCode ?? 0;
    const head = this.options.codec.decodeTargetResponse(
      status,
      res.rawHeaders
    );
    const {attemptId} = this.options;
    const fault = responseFault(status, head, attemptId, isReusedSocket);
    if (fault !== undefined) {
      this.fail(fault, `invalid response with status ${status}`);
      this.req?.destroy();
      return;
    }
    this.reportSignals(status, head.signals);
    if (executionAtTarget(status, head) === EXECUTION.notRun) {
      const kind = notRunKind(head);
      drainBody(res);
      this.fail(kind, `not run by the target: status ${status}`);
      return;
    }
    this.settle();
    this.events.onResponse({status, head, res, isComplete});
  }

  /** A response with status 421 speaks for another target. */
  private reportSignals(status: number, signals: TargetSignals): void {
    if (status !== STATUS_MISDIRECTED) this.events.onSignals(signals);
  }

  private onError(err: NodeJS.ErrnoException): void {
    const isRefused = err.code === 'ECONNREFUSED';
    this.fail(this.failureKindOf(err), err.message, isRefused);
  }

  private failureKindOf(err: Error): AttemptFailure['kind'] {
    if (isInvalidResponseError(err)) return 'invalid_response';
    return this.sent ? 'reset' : 'connect_failed';
  }

  private fail(
    kind: AttemptFailure['kind'],
    message: string,
    isRefused = false
  ): void {
    if (this.settled) return;
    this.settle();
    const execution = this.executionOf(kind);
    this.events.onFailure(attemptFailure(kind, execution, message, isRefused));
  }

  private executionOf(kind: AttemptFailure['kind']): Execution {
    if (NOT_RUN_KINDS.has(kind)) return EXECUTION.notRun;
    return this.sent ? EXECUTION.unknown : EXECUTION.notRun;
  }

  private settle(): void {
    this.settled = true;
    clearInterval(this.silenceTimer);
    clearTimeout(this.connectTimer);
  }
}

/** Opens a request; fails if the target's address cannot be used. */
function openRequest({
  target: {host, port},
  method,
  url: path,
  headers,
  agent,
}: TargetCallOptions): Result<http.ClientRequest, UnusableAddress> {
  try {
    return ok(http.request({host, port, method, path, headers, agent}));
  } catch (err) {
    return fail({kind: 'unusable_address', message: errorMessage(err)});
  }
}

/** Why a target that says so did not run a request. */
function notRunKind(head: TargetResponseHead): AttemptFailure['kind'] {
  if (!head.notExecuted) return 'wrong_target';
  return head.signals.pauseMs === undefined ? 'not_executed' : 'target_paused';
}

/** For errors that the handlers of the request have already reported. */
function ignoreError(): void {}
