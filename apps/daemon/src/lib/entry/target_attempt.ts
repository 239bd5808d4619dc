/** One attempt to run a request on the target that a slot was granted on. */
import {match} from 'ts-pattern';
import {streamResumePath} from '@applebend/externals';
import {sleep} from '@applebend/utils';
import {AnswerRelay, endToEndHeaders} from './answer_relay.js';
import {
  connectTarget,
  sendRequest,
  targetIsThere,
} from './target_connection.js';

import type {EngineStream} from '@applebend/externals';
import type {Clock} from '@applebend/utils';
import type {TargetAddress} from '../membership/target_directory.js';
import type {AdmittedRequest} from './admission.js';
import type {WholeAnswer} from './answer_relay.js';
import type {AnswerHeaders} from './caller.js';
import type {TargetFailure, TargetRequest} from './target_connection.js';

/** Why no answer began. @public */
export type UnansweredReason =
  'lost' | 'broke' | 'stalled' | 'mismatched' | 'deadline';

/** How an attempt ended. @public */
export type AttemptEnd =
  | {readonly type: 'answered'; readonly answer: WholeAnswer}
  /** No byte of the request left. */
  | {readonly type: 'not_sent'; readonly reason: 'unreachable' | 'lapsed'}
  /** It was sent, and no byte of an answer reached the caller. */
  | {
      readonly type: 'unanswered';
      readonly reason: UnansweredReason;
    }
  /** The answer broke off after it had begun. */
  | {
      readonly type: 'partial';
      readonly reason: 'lost' | 'broke' | 'stalled';
    }
  | {readonly type: 'caller_gone'};

/** What an attempt is made from. @public */
export interface AttemptParts {
  readonly request: AdmittedRequest;
  /** Names this attempt; targets say it back with the answer. */
  readonly attemptId: string;
  readonly address: TargetAddress;
  readonly clock: Clock;
  readonly connectTimeoutMs: number;
  readonly stallTimeoutMs: number;
  /** This instance's clock by which the answer must have begun. */
  readonly deadlineAtMs: number;
  /** Asked right before the first byte leaves; true lets it leave. */
  readonly onSending: () => boolean;
  readonly onAnswerBegins: () => void;
  readonly onTokens: (stream: EngineStream) => void;
  readonly addTraceHeaders: (headers: AnswerHeaders) => void;
}

const MAX_RESUMES = 6;
const RESUME_BASE_DELAY_MS = 25;
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;
const ID_HEADER = 'x-request-id';

/** Headers that are the fleet's own and do not reach targets. */
const PRIVATE_HEADERS = ['authorization', 'host', 'x-request-class'];

/** @public */
export class TargetAttempt {
  private readonly relay: AnswerRelay;
  private readonly cancel = new AbortController();
  private deadlinePassed = false;
  /** It refused a connection, or had forgotten the stream. */
  private seenLost = false;

  private constructor(private readonly parts: AttemptParts) {
    this.relay = AnswerRelay.create({
      caller: parts.request.caller,
      clock: parts.clock,
      onBegin: parts.onAnswerBegins,
      onTokens: parts.onTokens,
    });
  }

  static create(parts: AttemptParts): TargetAttempt {
    return new TargetAttempt(parts);
  }

  /** The answer's tokens and their times, for model calls. */
  get stream(): EngineStream {
    return this.relay.stream;
  }

  async run(): Promise<AttemptEnd> {
    const {caller} = this.parts.request;
    const stop = () => this.cancel.abort();
    caller.gone.addEventListener('abort', stop, {once: true});
    const leftMs = this.parts.deadlineAtMs - this.parts.clock.monotonicMs();
    const timer = setTimeout(() => this.onDeadline(), Math.max(0, leftMs));
    try {
      return await this.send();
    } finally {
      clearTimeout(timer);
      caller.gone.removeEventListener('abort', stop);
    }
  }

  private onDeadline(): void {
    if (this.parts.request.caller.begun) return;
    this.deadlinePassed = true;
    this.cancel.abort();
  }

  private async send(): Promise<AttemptEnd> {
    const {address, connectTimeoutMs, stallTimeoutMs} = this.parts;
    const {signal} = this.cancel;
    const connected = await connectTarget(address, connectTimeoutMs, signal);
    if (!connected.ok) return this.notConnected();
    if (signal.aborted || !this.parts.onSending()) {
      connected.value.destroy();
      return this.notConnected('lapsed');
    }
    const sent = await sendRequest(
      connected.value,
      this.targetRequest(),
      stallTimeoutMs,
      signal
    );
    if (!sent.ok) return this.unanswered(sent.err);
    const shownId = sent.value.headers[ID_HEADER];
    if (typeof shownId === 'string' && shownId !== this.parts.attemptId) {
      sent.value.destroy();
      return {type: 'unanswered', reason: 'mismatched'};
    }
    const relayed = await this.relay.pass(sent.value);
    return match(relayed)
      .with({type: 'whole'}, ({answer}) => this.whole(answer))
      .with({type: 'caller_gone'}, end => this.onCallerGone(end))
      .with({type: 'broke'}, () => this.onBroke())
      .exhaustive();
  }

  private whole(answer: WholeAnswer): AttemptEnd {
    return {type: 'answered', answer};
  }

  private notConnected(
    reason: 'unreachable' | 'lapsed' = 'unreachable'
  ): AttemptEnd {
    if (this.parts.request.caller.gone.aborted) return {type: 'caller_gone'};
    return {type: 'not_sent', reason};
  }

  private targetRequest(): TargetRequest {
    const {request, attemptId} = this.parts;
    const {req} = request.caller;
    const headers: AnswerHeaders = {
      ...endToEndHeaders(req.headers),
      'content-length': String(request.body.length),
      [ID_HEADER]: attemptId,
    };
    for (const name of PRIVATE_HEADERS) delete headers[name];
    this.parts.addTraceHeaders(headers);
    const method = req.method ?? 'GET';
    return {method, path: request.targetPath, headers, body: request.body};
  }

  private async unanswered(failure: TargetFailure): Promise<AttemptEnd> {
    if (this.parts.request.caller.gone.aborted) return {type: 'caller_gone'};
    if (this.deadlinePassed) return {type: 'unanswered', reason: 'deadline'};
    if (failure.kind === 'stalled') {
      return {type: 'unanswered', reason: 'stalled'};
    }
    const reason = await this.reasonOfBreak();
    return {type: 'unanswered', reason};
  }

  /** A broken answer is continued where the engine can; else it is partial. */
  private async onBroke(): Promise<AttemptEnd> {
    const {caller, service} = this.parts.request;
    if (this.deadlinePassed) return {type: 'unanswered', reason: 'deadline'};
    const {id} = this.stream;
    if (service.resume && id !== undefined) {
      const end = await this.resumeUntilWhole(id);
      if (end !== undefined) return end;
    }
    if (caller.gone.aborted) return {type: 'caller_gone'};
    const reason = await this.reasonOfBreak();
    if (!caller.begun) return {type: 'unanswered', reason};
    return {type: 'partial', reason};
  }

  private async resumeUntilWhole(id: string): Promise<AttemptEnd | undefined> {
    for (let tries = 0; tries < MAX_RESUMES; tries++) {
      const end = await this.resume(id);
      if (end !== undefined || this.seenLost) return end;
      await sleep(RESUME_BASE_DELAY_MS * 2 ** tries, this.cancel.signal);
    }
    return undefined;
  }

  /** Undefined when the continuation failed too. */
  private async resume(id: string): Promise<AttemptEnd | undefined> {
    const path = streamResumePath(id, this.stream.outputTokens);
    const res = await this.ask('GET', path);
    if (res?.statusCode !== OK_STATUS) {
      this.seenLost ||= res?.statusCode === NOT_FOUND_STATUS;
      res?.destroy();
      return undefined;
    }
    const relayed = await this.relay.pass(res);
    return match(relayed)
      .with({type: 'whole'}, ({answer}) => this.whole(answer))
      .with({type: 'caller_gone'}, end => this.onCallerGone(end))
      .with({type: 'broke'}, () => undefined)
      .exhaustive();
  }

  /** Engines that keep broken streams have to be told of a cancel. */
  private async onCallerGone(end: AttemptEnd): Promise<AttemptEnd> {
    const {id} = this.stream;
    if (this.parts.request.service.resume && id !== undefined) {
      const res = await this.ask('DELETE', streamResumePath(id, 0));
      res?.destroy();
    }
    return end;
  }

  private async ask(method: string, path: string) {
    const {address, connectTimeoutMs, stallTimeoutMs} = this.parts;
    const connected = await connectTarget(address, connectTimeoutMs);
    this.seenLost = !connected.ok;
    if (!connected.ok) return undefined;
    const sent = await sendRequest(
      connected.value,
      {method, path, headers: {}, body: Buffer.alloc(0)},
      stallTimeoutMs,
      new AbortController().signal
    );
    return sent.ok ? sent.value : undefined;
  }

  private async reasonOfBreak(): Promise<'lost' | 'broke'> {
    if (this.seenLost) return 'lost';
    return (await targetIsThere(this.parts.address)) ? 'broke' : 'lost';
  }
}
