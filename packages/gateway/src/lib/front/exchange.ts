/**
 * One request from the moment that it passed the checks to its end: places
 * it, sends it, passes the answer on, and says truthfully what became of it.
 */
import {RETRY_SAFETY} from '@applebend/routing';
import {attemptFailure, EXECUTION} from '../errors.js';
import {TargetCall} from '../upstream/target_call.js';
import {AttemptLedger} from './attempt_ledger.js';
import {noteUse} from './note_use.js';
import {decideRequest, findPlacement, kvTokensOf} from './placing.js';
import {PlainRelay} from './plain_relay.js';
import {STATUS, sendOwnAnswer} from './responses.js';
import {StreamRelay} from './stream_relay.js';
import {DEADLINE_GRACE_MS, targetCallOptions} from './target_call_options.js';

import type {Candidate, Placement, RunningRequest} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';
import type {TargetEntry} from '../state/target_entry.js';
import type {
  TargetCallOptions,
  TargetResponse,
} from '../upstream/target_call.js';
import type {PlacingInput} from './placing.js';
import type {OwnAnswer} from './responses.js';
import type {RequestContext} from './request_context.js';
import type {ExchangeReport, PlacedFigures} from './exchange_report.js';
import type {CallerSide, ExchangeTools} from './exchange_tools.js';

/** With less time left a request is not sent to any target. */
const MIN_LEFT_TO_SEND_MS = 5;
const RETRY_SOON_S = 0.3;
const PAUSE_FACTOR = 3;
const MIN_PAUSE_LIMIT_MS = 1000;

/** @public */
export class Exchange {
  private readonly ledger: AttemptLedger;
  private call: TargetCall | undefined;
  private running: RunningRequest | undefined;
  private stream: StreamRelay | undefined;
  private current: TargetEntry | undefined;
  private ended = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private placed: PlacedFigures | undefined;
  private refusedFor: ExchangeReport['refusedFor'];
  private headMs: number | undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly side: CallerSide,
    private readonly tools: ExchangeTools
  ) {
    this.ledger = AttemptLedger.create(context.route.maxAttempts);
  }

  /** Starts the exchange; it ends by itself. */
  static create(
    context: RequestContext,
    side: CallerSide,
    tools: ExchangeTools
  ): Exchange {
    const exchange = new Exchange(context, side, tools);
    exchange.start();
    return exchange;
  }

  private get nowMs(): number {
    return this.tools.clock.monotonicMs();
  }

  private get leftMs(): number {
    return this.context.endsMs - this.nowMs;
  }

  /** Whether this request may be run a second time. */
  private get isRepeatable(): boolean {
    return this.context.route.retrySafety === RETRY_SAFETY.idempotent;
  }

  private start(): void {
    const {res} = this.side;
    res.on('close', () => {
      if (!res.writableFinished) this.onCallerLeft();
    });
    const waitMs = Math.max(0, this.leftMs) + DEADLINE_GRACE_MS;
    this.deadlineTimer = setTimeout(() => this.onDeadline(), waitMs);
    this.admit();
  }

  private get placing(): PlacingInput {
    const {context, tools, ledger} = this;
    const {state, random} = tools;
    return {context, state, used: ledger.used, nowMs: this.nowMs, random};
  }

  private admit(): void {
    const {context, tools, placing} = this;
    const decision = decideRequest(placing);
    noteUse(tools, context, decision?.admission.kind === 'admit');
    if (decision === undefined) {
      this.refuse('no_target', RETRY_SOON_S);
      return;
    }
    const {admission, input, placement} = decision;
    if (admission.kind === 'refuse') {
      this.refusedFor = input;
      this.refuse(admission.reason, admission.retryAfterS);
      return;
    }
    tools.state.budgetOf(context.service).onRequest(placing.nowMs);
    this.send(placement);
  }

  private refuse(kind: string, retryAfterS: number): void {
    this.finishWith({
      status: STATUS.unavailable,
      kind,
      execution: EXECUTION.notRun,
      retryAfterS,
    });
  }

  private send({candidate}: Placement): void {
    const {context, tools} = this;
    const entry = tools.state.targets.get(candidate.id);
    if (entry === undefined || this.leftMs < MIN_LEFT_TO_SEND_MS) {
      const kind = entry === undefined ? 'connect_failed' : 'timeout';
      this.giveUp(attemptFailure(kind, EXECUTION.notRun, 'not sent'));
      return;
    }
    this.current = entry;
    this.notePlacement(entry, candidate);
    const sentMs = this.nowMs;
    const readTokens = candidate.load.prefillTokens + candidate.uncachedTokens;
    const predictedMs = candidate.waitMs + candidate.prefillMs;
    this.call = TargetCall.create(this.callOptions(entry, predictedMs), {
      onResponse: response => {
        this.headMs = this.nowMs - sentMs;
        const isStream = context.route.streaming && response.status < 300;
        if (isStream && context.prompt !== undefined) {
          entry.model.observe(readTokens, this.headMs);
        }
        this.running?.onFirstEvent();
        this.onResponse(entry, response);
      },
      onFailure: failure => this.onFailure(failure),
    });
  }

  /** Counts the request at its target, here and at all peers. */
  private notePlacement(entry: TargetEntry, candidate: Candidate): void {
    const {context, tools, ledger} = this;
    const {id, load, waitMs, prefillMs, uncachedTokens} = candidate;
    const {running, kvTokens} = load;
    this.placed = {waitMs, prefillMs, running, uncachedTokens, kvTokens};
    ledger.onSend(id);
    this.running = entry.ownLoad.start(uncachedTokens, kvTokensOf(context));
    entry.health.onSent();
    const parts = context.prompt?.prefixBlocks ?? [];
    const isNew = !entry.prefixCache.hasSharedBlocks(parts);
    entry.prefixCache.touch(parts);
    tools.onPlaced(id, context, isNew);
  }

  private callOptions(
    {target}: TargetEntry,
    predictedMs: number
  ): TargetCallOptions {
    const {context, side, tools} = this;
    return targetCallOptions(context, side, tools, {
      target,
      leftMs: this.leftMs,
      resumeAfter: this.stream?.lastId,
      predictedMs,
      mayRunElsewhere: this.isRepeatable && !this.ledger.isLast,
    });
  }

  private onResponse(entry: TargetEntry, response: TargetResponse): void {
    const {route} = this.context;
    const {status} = response;
    if (status >= 500) entry.health.onFailure(this.nowMs);
    if (route.streaming && status < 300) {
      this.relayStream(response);
      return;
    }
    if (status >= 500 && this.isRepeatable && this.mayRetry(true)) {
      response.res.destroy();
      this.endRunning();
      this.ledger.onRun();
      this.sendAgain();
      return;
    }
    PlainRelay.create(
      response,
      this.side.res,
      this.tools.state.closesConnections,
      {
        onDone: () => {
          if (status < 500) entry.health.onSuccess();
          this.end('answered', status);
        },
        onBroken: () =>
          this.onFailure(
            attemptFailure('reset', EXECUTION.unknown, 'answer broke off')
          ),
      }
    );
  }

  private relayStream(response: TargetResponse): void {
    const {route} = this.context;
    const {state} = this.tools;
    this.stream ??= StreamRelay.create(this.side.res, {
      pauseLimitMs: Math.max(
        MIN_PAUSE_LIMIT_MS,
        PAUSE_FACTOR * route.eventGapTargetMs
      ),
      onDone: () => {
        this.current?.health.onSuccess();
        this.end('answered', STATUS.ok);
      },
      onBroken: message =>
        this.onFailure(attemptFailure('reset', EXECUTION.unknown, message)),
      onPause: () => this.onPause(),
    });
    this.stream.attach(response, state.closesConnections);
  }

  /** A stream that stands still goes on elsewhere where it may. */
  private onPause(): void {
    if (!this.isRepeatable || !this.mayRetry(false)) return;
    const failure = attemptFailure(
      'target_silent',
      EXECUTION.unknown,
      'the stream stands still'
    );
    this.call?.abort();
    this.onFailure(failure);
  }

  private onFailure(failure: AttemptFailure): void {
    if (this.ended) return;
    this.endRunning();
    this.ledger.onFailure(failure);
    this.current?.health.onFailure(this.nowMs);
    const neverArrived = failure.kind === 'connect_failed';
    const safe = failure.execution === EXECUTION.notRun || this.isRepeatable;
    if (safe && this.mayRetry(!neverArrived)) {
      this.sendAgain();
      return;
    }
    this.giveUp(failure);
  }

  /** Whether one more target may be tried; takes it from the budget. */
  private mayRetry(costsBudget: boolean): boolean {
    const {context, tools} = this;
    if (this.ended || !this.ledger.allowsAnother(this.leftMs)) return false;
    if (!costsBudget) return true;
    const budget = tools.state.budgetOf(context.service);
    return budget.tryAcquire(tools.state.instanceCount, this.nowMs);
  }

  private sendAgain(): void {
    const placement = findPlacement(this.placing);
    if (placement === undefined) {
      const none = attemptFailure(
        'connect_failed',
        EXECUTION.notRun,
        'no other target'
      );
      this.giveUp(this.ledger.lastFailure ?? none);
      return;
    }
    this.send(placement);
  }

  private giveUp(failure: AttemptFailure): void {
    const notRun =
      failure.execution === EXECUTION.notRun && !this.ledger.mayHaveRun;
    this.finishWith({
      status: notRun ? STATUS.unavailable : STATUS.badGateway,
      kind: failure.kind,
      execution: notRun ? EXECUTION.notRun : EXECUTION.unknown,
      retryAfterS: notRun ? RETRY_SOON_S : undefined,
    });
  }

  private onDeadline(): void {
    if (this.ended) return;
    const sent = this.ledger.sends > 0;
    this.call?.abort();
    this.finishWith({
      status: sent ? STATUS.gatewayTimeout : STATUS.unavailable,
      kind: 'timeout',
      execution: sent ? EXECUTION.unknown : EXECUTION.notRun,
      retryAfterS: sent ? undefined : RETRY_SOON_S,
    });
  }

  /** Frees the target; a request that must run once is left to finish. */
  private onCallerLeft(): void {
    if (this.ended) return;
    const {call} = this;
    const {route} = this.context;
    const leftMs = Math.max(0, this.leftMs) + DEADLINE_GRACE_MS;
    if (this.isRepeatable || route.streaming) call?.abort();
    else setTimeout(() => call?.abort(), leftMs);
    this.end('caller_left', 0);
  }

  private finishWith(answer: OwnAnswer): void {
    if (this.ended) return;
    sendOwnAnswer(this.side.res, answer, this.tools.state.closesConnections);
    this.end(answer.kind, answer.status);
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
    this.tools.onEnd({
      attemptId: context.caller.attemptId,
      route: context.route.name,
      service: context.service,
      customer: context.customer,
      outcome,
      status,
      sends: this.ledger.sends,
      target: this.current?.target.id,
      failure: this.ledger.lastFailure,
      placed: this.placed,
      refusedFor: this.refusedFor,
      headMs: this.headMs,
      elapsedMs: this.nowMs - context.arrivedMs,
      configVersion: context.config.version,
    });
  }
}
