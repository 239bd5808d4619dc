import {RETRY_SAFETY} from '@applebend/routing';
import {attemptFailure, EXECUTION} from '../errors.js';
import {TargetCall} from '../upstream/target_call.js';
import {AttemptTracker} from './attempt_tracker.js';
import {recordUsage} from './record_usage.js';
import {decideRequest, findPlacement, kvTokensOf} from './placement.js';
import {BufferedRelay} from './buffered_relay.js';
import {STATUS, sendResponse} from './responses.js';
import {StreamRelay} from './stream_relay.js';
import {DEADLINE_GRACE_MS, targetCallOptions} from './target_call_options.js';

import type {Candidate, Placement, LoadHandle} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';
import type {TargetRecord} from '../state/target_record.js';
import type {
  TargetCallOptions,
  TargetResponse,
} from '../upstream/target_call.js';
import type {PlacementInput} from './placement.js';
import type {GatewayResponse} from './responses.js';
import type {RequestContext} from './request_context.js';
import type {ExchangeReport, PlacementEstimates} from './exchange_report.js';
import type {InboundRequest, ExchangeDeps} from './exchange_deps.js';

/** A request is not sent with less time left until its deadline. */
const MIN_LEFT_TO_SEND_MS = 5;
/** When callers may retry a request that certainly did not run. */
const RETRY_AFTER_S = 0.3;
/** Multiple of the target gap between events that counts as a stall. */
const STALL_FACTOR = 3;
const MIN_STALL_TIMEOUT_MS = 1000;

/** Handles one checked request, from admission to its outcome. @public */
export class Exchange {
  private readonly attempts: AttemptTracker;
  private call: TargetCall | undefined;
  private running: LoadHandle | undefined;
  private stream: StreamRelay | undefined;
  private currentTarget: TargetRecord | undefined;
  private ended = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private placed: PlacementEstimates | undefined;
  private refusedFor: ExchangeReport['refusedFor'];
  private headMs: number | undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly inbound: InboundRequest,
    private readonly deps: ExchangeDeps
  ) {
    this.attempts = AttemptTracker.create(context.route.maxAttempts);
  }

  /** Starts an exchange, which ends by itself. */
  static create(
    context: RequestContext,
    inbound: InboundRequest,
    deps: ExchangeDeps
  ): Exchange {
    const exchange = new Exchange(context, inbound, deps);
    exchange.start();
    return exchange;
  }

  private get nowMs(): number {
    return this.deps.clock.monotonicMs();
  }

  private get leftMs(): number {
    return this.context.deadlineAtMs - this.nowMs;
  }

  private get isIdempotent(): boolean {
    return this.context.route.retrySafety === RETRY_SAFETY.idempotent;
  }

  private start(): void {
    const {res} = this.inbound;
    res.on('close', () => {
      if (!res.writableFinished) this.onCallerDisconnected();
    });
    const waitMs = Math.max(0, this.leftMs) + DEADLINE_GRACE_MS;
    this.deadlineTimer = setTimeout(() => this.onDeadline(), waitMs);
    this.admit();
  }

  private get placementInput(): PlacementInput {
    const {context, deps, attempts} = this;
    const {state, random} = deps;
    return {context, state, tried: attempts.tried, nowMs: this.nowMs, random};
  }

  private admit(): void {
    const {context, deps, placementInput} = this;
    const decision = decideRequest(placementInput);
    recordUsage(deps, context, decision?.admission.kind === 'admit');
    if (decision === undefined) {
      this.refuse('no_target', RETRY_AFTER_S);
      return;
    }
    const {admission, input, placement} = decision;
    if (admission.kind === 'refuse') {
      this.refusedFor = input;
      this.refuse(admission.reason, admission.retryAfterS);
      return;
    }
    deps.state.retryBudgetOf(context.service).onRequest(placementInput.nowMs);
    this.send(placement);
  }

  private refuse(kind: string, retryAfterS: number): void {
    this.respond({
      status: STATUS.unavailable,
      kind,
      execution: EXECUTION.notRun,
      retryAfterS,
    });
  }

  private send({candidate}: Placement): void {
    const {context, deps} = this;
    const record = deps.state.targets.get(candidate.id);
    if (record === undefined || this.leftMs < MIN_LEFT_TO_SEND_MS) {
      const kind = record === undefined ? 'connect_failed' : 'timeout';
      this.giveUp(attemptFailure(kind, EXECUTION.notRun, 'request not sent'));
      return;
    }
    this.currentTarget = record;
    this.recordPlacement(record, candidate);
    const sentMs = this.nowMs;
    const readTokens = candidate.load.prefillTokens + candidate.uncachedTokens;
    const predictedMs = candidate.waitMs + candidate.prefillMs;
    this.call = TargetCall.create(this.callOptions(record, predictedMs), {
      onResponse: response => {
        // The time to the head counts as the time to the first event.
        this.headMs = this.nowMs - sentMs;
        const isStream = context.route.streaming && response.status < 300;
        if (isStream && context.prompt !== undefined) {
          record.firstEventModel.observe(readTokens, this.headMs);
        }
        this.running?.onFirstEvent();
        this.onResponse(record, response);
      },
      onFailure: failure => this.onFailure(failure),
    });
  }

  /** Counts the request in the target's load, here and at all peers. */
  private recordPlacement(record: TargetRecord, candidate: Candidate): void {
    const {context, deps, attempts} = this;
    const {id, load, waitMs, prefillMs, uncachedTokens} = candidate;
    const {running, kvTokens} = load;
    this.placed = {waitMs, prefillMs, running, uncachedTokens, kvTokens};
    attempts.onSend(id);
    this.running = record.ownLoad.start(uncachedTokens, kvTokensOf(context));
    record.health.onSent();
    const blocks = context.prompt?.prefixBlocks ?? [];
    const isCacheMiss = !record.prefixCache.hasSharedBlocks(blocks);
    record.prefixCache.touch(blocks);
    deps.onPlaced(id, context, isCacheMiss);
  }

  private callOptions(
    {target}: TargetRecord,
    predictedMs: number
  ): TargetCallOptions {
    const {context, inbound, deps} = this;
    return targetCallOptions(context, inbound, deps, {
      target,
      leftMs: this.leftMs,
      resumeAfter: this.stream?.lastEventId,
      predictedMs,
      canFailOver: this.isIdempotent && !this.attempts.isLastAttempt,
    });
  }

  /** Forwards a response, or retries an idempotent request after a 5xx. */
  private onResponse(record: TargetRecord, response: TargetResponse): void {
    const {route} = this.context;
    const {status} = response;
    if (status >= 500) record.health.onFailure(this.nowMs);
    if (route.streaming && status < 300) {
      this.relayStream(response);
      return;
    }
    if (status >= 500 && this.isIdempotent && this.tryAcquireRetry(true)) {
      response.res.destroy();
      this.endRunning();
      this.attempts.onExecuted();
      this.retry();
      return;
    }
    BufferedRelay.create(
      response,
      this.inbound.res,
      this.deps.state.closesConnections,
      {
        onDone: () => {
          if (status < 500) record.health.onSuccess();
          this.end('answered', status);
        },
        onAborted: () =>
          this.onFailure(
            attemptFailure('reset', EXECUTION.unknown, 'response ended early')
          ),
      }
    );
  }

  private relayStream(response: TargetResponse): void {
    const {route} = this.context;
    const {state} = this.deps;
    this.stream ??= StreamRelay.create(this.inbound.res, {
      stallTimeoutMs: Math.max(
        MIN_STALL_TIMEOUT_MS,
        STALL_FACTOR * route.eventGapTargetMs
      ),
      onDone: () => {
        this.currentTarget?.health.onSuccess();
        this.end('answered', STATUS.ok);
      },
      onAborted: message =>
        this.onFailure(attemptFailure('reset', EXECUTION.unknown, message)),
      onStall: () => this.onStall(),
    });
    this.stream.attach(response, state.closesConnections);
  }

  /** Lets another target resume a stalled stream if a retry is allowed. */
  private onStall(): void {
    // onFailure charges the retry to the budget.
    if (!this.isIdempotent || !this.tryAcquireRetry(false)) return;
    const failure = attemptFailure(
      'target_silent',
      EXECUTION.unknown,
      'stream stalled'
    );
    this.call?.abort();
    this.onFailure(failure);
  }

  private onFailure(failure: AttemptFailure): void {
    if (this.ended) return;
    this.endRunning();
    this.attempts.onFailure(failure);
    this.currentTarget?.health.onFailure(this.nowMs);
    const failedToConnect = failure.kind === 'connect_failed';
    // A request that may have run is sent again only if it is idempotent.
    const isSafe = failure.execution === EXECUTION.notRun || this.isIdempotent;
    if (isSafe && this.tryAcquireRetry(!failedToConnect)) {
      this.retry();
      return;
    }
    this.giveUp(failure);
  }

  /** Whether a retry is allowed; charges it to the budget if `costsBudget`. */
  private tryAcquireRetry(costsBudget: boolean): boolean {
    const {context, deps} = this;
    if (this.ended || !this.attempts.allowsRetry(this.leftMs)) return false;
    if (!costsBudget) return true;
    const budget = deps.state.retryBudgetOf(context.service);
    return budget.tryAcquire(deps.state.instanceCount, this.nowMs);
  }

  private retry(): void {
    const placement = findPlacement(this.placementInput);
    if (placement === undefined) {
      const none = attemptFailure(
        'connect_failed',
        EXECUTION.notRun,
        'no other target'
      );
      this.giveUp(this.attempts.lastFailure ?? none);
      return;
    }
    this.send(placement);
  }

  /** Responds 503 if the request certainly did not run, otherwise 502. */
  private giveUp(failure: AttemptFailure): void {
    const notRun =
      failure.execution === EXECUTION.notRun && !this.attempts.mayHaveRun;
    this.respond({
      status: notRun ? STATUS.unavailable : STATUS.badGateway,
      kind: failure.kind,
      execution: notRun ? EXECUTION.notRun : EXECUTION.unknown,
      retryAfterS: notRun ? RETRY_AFTER_S : undefined,
    });
  }

  private onDeadline(): void {
    if (this.ended) return;
    const sent = this.attempts.sends > 0;
    this.call?.abort();
    this.respond({
      status: sent ? STATUS.gatewayTimeout : STATUS.unavailable,
      kind: 'timeout',
      execution: sent ? EXECUTION.unknown : EXECUTION.notRun,
      retryAfterS: sent ? undefined : RETRY_AFTER_S,
    });
  }

  /** Frees the target, but lets a non-stream finish that must run only once. */
  private onCallerDisconnected(): void {
    if (this.ended) return;
    const {call} = this;
    const {route} = this.context;
    const leftMs = Math.max(0, this.leftMs) + DEADLINE_GRACE_MS;
    if (this.isIdempotent || route.streaming) call?.abort();
    else setTimeout(() => call?.abort(), leftMs);
    this.end('caller_left', 0);
  }

  private respond(response: GatewayResponse): void {
    if (this.ended) return;
    sendResponse(this.inbound.res, response, this.deps.state.closesConnections);
    this.end(response.kind, response.status);
  }

  private endRunning(): void {
    this.running?.onEnd();
    this.running = undefined;
    this.stream?.detach();
  }

  private end(outcome: string, status: number): void {
    if (this.ended) return;
    this.ended = true;
    clearTimeout(this.deadlineTimer);
    this.endRunning();
    const {context} = this;
    this.deps.onEnd({
      attemptId: context.caller.attemptId,
      route: context.route.name,
      service: context.service,
      customer: context.customer,
      outcome,
      status,
      sends: this.attempts.sends,
      target: this.currentTarget?.target.id,
      failure: this.attempts.lastFailure,
      placed: this.placed,
      refusedFor: this.refusedFor,
      headMs: this.headMs,
      elapsedMs: this.nowMs - context.arrivedAtMs,
      configVersion: context.config.version,
    });
  }
}
