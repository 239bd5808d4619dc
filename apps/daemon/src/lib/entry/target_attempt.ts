import {match} from 'ts-pattern';
import {streamResumePath} from '@applebend/externals';
import {sleep} from '@applebend/utils';
import {ResponseRelay, endToEndHeaders} from './response_relay.js';
import {connectTarget, sendRequest, probeTarget} from './target_connection.js';

import type {EngineStream} from '@applebend/externals';
import type {Clock} from '@applebend/utils';
import type {TargetAddress} from '../membership/target_directory.js';
import type {AdmittedRequest} from './admission.js';
import type {CompleteResponse} from './response_relay.js';
import type {HttpHeaders} from './caller.js';
import type {TargetFailure, TargetRequest} from './target_connection.js';

/**
 * Why no response reached the caller; also a metric label.
 *
 * - `lost`: the target no longer responds.
 * - `broke`: only the connection was lost.
 * - `stalled`: the target sent nothing for the stall timeout.
 * - `mismatched`: the response was to another request.
 * - `deadline`: no response had begun by the deadline.
 *
 * @public
 */
export type NoResponseReason =
  'lost' | 'broke' | 'stalled' | 'mismatched' | 'deadline';

/** How an attempt ended. @public */
export type AttemptOutcome =
  | {readonly type: 'completed'; readonly response: CompleteResponse}
  /**
   * No byte of the request was sent. `unreachable`: there was no connection.
   * `lapsed`: the lease, the claim or the deadline had expired, or the target
   * was leaving.
   */
  | {readonly type: 'not_sent'; readonly reason: 'unreachable' | 'lapsed'}
  /** The request was sent, but no byte of a response reached the caller. */
  | {
      readonly type: 'no_response';
      readonly reason: NoResponseReason;
    }
  /** The response was interrupted after a part of it reached the caller. */
  | {
      readonly type: 'partial';
      readonly reason: 'lost' | 'broke' | 'stalled';
    }
  | {readonly type: 'caller_gone'};

/** @public */
export interface TargetAttemptOptions {
  readonly request: AdmittedRequest;
  /** Sent as x-request-id; targets return it with the response. */
  readonly attemptId: string;
  readonly address: TargetAddress;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  /** Time that the target may send nothing while a response is due. */
  readonly stallTimeoutMs: number;
  /** Latest start of the response, by this instance's monotonic clock. */
  readonly deadlineAtMs: number;
  /** Called right before sending; the request is sent if it returns true. */
  readonly canSend: () => boolean;
  readonly onResponseStart: () => void;
  readonly onTokens: (stream: EngineStream) => void;
  readonly addTraceHeaders: (headers: HttpHeaders) => void;
}

const MAX_RESUMES = 6;
const RESUME_BASE_DELAY_MS = 25;
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;
const REQUEST_ID_HEADER = 'x-request-id';

/** Headers of the caller that are meant for the router only. */
const NOT_FORWARDED_HEADERS = ['authorization', 'host', 'x-request-class'];

/** One attempt to run a request on the target of its slot. @public */
export class TargetAttempt {
  private readonly relay: ResponseRelay;
  private readonly cancelController = new AbortController();
  private deadlinePassed = false;
  /** Whether the target refused a connection or no longer has the stream. */
  private targetLost = false;

  private constructor(private readonly options: TargetAttemptOptions) {
    this.relay = ResponseRelay.create({
      caller: options.request.caller,
      clock: options.clock,
      onResponseStart: options.onResponseStart,
      onTokens: options.onTokens,
    });
  }

  static create(options: TargetAttemptOptions): TargetAttempt {
    return new TargetAttempt(options);
  }

  /** Token counts and times of the response to a model call. */
  get stream(): EngineStream {
    return this.relay.stream;
  }

  async run(): Promise<AttemptOutcome> {
    const {caller} = this.options.request;
    const stop = () => this.cancelController.abort();
    caller.gone.addEventListener('abort', stop, {once: true});
    const remainingMs =
      this.options.deadlineAtMs - this.options.clock.monotonicMs();
    const timer = setTimeout(() => this.onDeadline(), Math.max(0, remainingMs));
    try {
      return await this.send();
    } finally {
      clearTimeout(timer);
      caller.gone.removeEventListener('abort', stop);
    }
  }

  private onDeadline(): void {
    if (this.options.request.caller.responseStarted) return;
    this.deadlinePassed = true;
    this.cancelController.abort();
  }

  private async send(): Promise<AttemptOutcome> {
    const {address, connectTimeoutMs, stallTimeoutMs} = this.options;
    const {signal} = this.cancelController;
    const connected = await connectTarget(address, connectTimeoutMs, signal);
    if (!connected.ok) return this.notSent();
    if (signal.aborted || !this.options.canSend()) {
      connected.value.destroy();
      return this.notSent('lapsed');
    }
    const sent = await sendRequest(
      connected.value,
      this.targetRequest(),
      stallTimeoutMs,
      signal
    );
    if (!sent.ok) return this.noResponse(sent.err);
    const {res} = sent.value;
    const echoedId = res.headers[REQUEST_ID_HEADER];
    if (typeof echoedId === 'string' && echoedId !== this.options.attemptId) {
      res.destroy();
      return {type: 'no_response', reason: 'mismatched'};
    }
    const relayed = await this.relay.forward(sent.value);
    return match(relayed)
      .with({type: 'complete'}, ({response}) => this.completed(response))
      .with({type: 'caller_gone'}, outcome => this.onCallerGone(outcome))
      .with({type: 'interrupted'}, () => this.onInterrupted())
      .exhaustive();
  }

  private completed(response: CompleteResponse): AttemptOutcome {
    return {type: 'completed', response};
  }

  private notSent(
    reason: 'unreachable' | 'lapsed' = 'unreachable'
  ): AttemptOutcome {
    if (this.options.request.caller.gone.aborted) return {type: 'caller_gone'};
    return {type: 'not_sent', reason};
  }

  private targetRequest(): TargetRequest {
    const {request, attemptId} = this.options;
    const {req} = request.caller;
    const headers: HttpHeaders = {
      ...endToEndHeaders(req.headers),
      'content-length': String(request.body.length),
      [REQUEST_ID_HEADER]: attemptId,
    };
    for (const name of NOT_FORWARDED_HEADERS) delete headers[name];
    this.options.addTraceHeaders(headers);
    const method = req.method ?? 'GET';
    return {method, path: request.targetPath, headers, body: request.body};
  }

  private async noResponse(failure: TargetFailure): Promise<AttemptOutcome> {
    if (this.options.request.caller.gone.aborted) return {type: 'caller_gone'};
    if (this.deadlinePassed) return {type: 'no_response', reason: 'deadline'};
    if (failure.kind === 'stalled') {
      return {type: 'no_response', reason: 'stalled'};
    }
    const reason = await this.interruptionReason();
    return {type: 'no_response', reason};
  }

  /**
   * Resumes the response if the engine supports that. Otherwise the response
   * is partial, or missing if none of it has reached the caller.
   */
  private async onInterrupted(): Promise<AttemptOutcome> {
    const {caller, service} = this.options.request;
    if (this.deadlinePassed) return {type: 'no_response', reason: 'deadline'};
    const {id} = this.stream;
    if (service.resume && id !== undefined) {
      const outcome = await this.resumeUntilComplete(id);
      if (outcome !== undefined) return outcome;
    }
    if (caller.gone.aborted) return {type: 'caller_gone'};
    const reason = await this.interruptionReason();
    if (!caller.responseStarted) return {type: 'no_response', reason};
    return {type: 'partial', reason};
  }

  private async resumeUntilComplete(
    id: string
  ): Promise<AttemptOutcome | undefined> {
    for (let tries = 0; tries < MAX_RESUMES; tries++) {
      const outcome = await this.resume(id);
      if (outcome !== undefined || this.targetLost) return outcome;
      await sleep(
        RESUME_BASE_DELAY_MS * 2 ** tries,
        this.cancelController.signal
      );
    }
    return undefined;
  }

  /** Returns undefined if the response was not resumed to its end. */
  private async resume(id: string): Promise<AttemptOutcome | undefined> {
    const path = streamResumePath(id, this.stream.outputTokens);
    const received = await this.requestStream('GET', path);
    const status = received?.res.statusCode;
    if (received === undefined || status !== OK_STATUS) {
      this.targetLost ||= status === NOT_FOUND_STATUS;
      received?.res.destroy();
      return undefined;
    }
    const relayed = await this.relay.forward(received);
    return match(relayed)
      .with({type: 'complete'}, ({response}) => this.completed(response))
      .with({type: 'caller_gone'}, outcome => this.onCallerGone(outcome))
      .with({type: 'interrupted'}, () => undefined)
      .exhaustive();
  }

  /**
   * Cancels the stream on engines that can resume it: they keep interrupted
   * streams for a while, so a closed connection does not cancel it at once.
   */
  private async onCallerGone(outcome: AttemptOutcome): Promise<AttemptOutcome> {
    const {id} = this.stream;
    if (this.options.request.service.resume && id !== undefined) {
      const path = streamResumePath(id, 0);
      const received = await this.requestStream('DELETE', path);
      received?.res.destroy();
    }
    return outcome;
  }

  /**
   * Sends a request about the stream over a new connection, also if the attempt
   * was cancelled. Returns undefined if there is no response.
   */
  private async requestStream(method: string, path: string) {
    const {address, connectTimeoutMs, stallTimeoutMs} = this.options;
    const connected = await connectTarget(address, connectTimeoutMs);
    this.targetLost = !connected.ok;
    if (!connected.ok) return undefined;
    const sent = await sendRequest(
      connected.value,
      {method, path, headers: {}, body: Buffer.alloc(0)},
      stallTimeoutMs,
      new AbortController().signal
    );
    return sent.ok ? sent.value : undefined;
  }

  /** Sends the target a probe, unless it is known to be lost. */
  private async interruptionReason(): Promise<'lost' | 'broke'> {
    if (this.targetLost) return 'lost';
    return (await probeTarget(this.options.address)) ? 'broke' : 'lost';
  }
}
