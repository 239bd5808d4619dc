/**
 * One request from the moment that it passed the checks to its end: places
 * it, sends it, passes the answer on, and says truthfully what became of it.
 */
import {
  decideAdmission,
  place,
  RUN_LIMIT,
  serviceCost,
} from '@applebend/routing';
import {attemptFailure, EXECUTION} from '../errors.js';
import {candidatesFor} from '../upstream/candidates.js';
import {TargetCall} from '../upstream/target_call.js';
import {PlainRelay} from './plain_relay.js';
import {STATUS, sendOwnAnswer} from './responses.js';
import {StreamRelay} from './stream_relay.js';

import type http from 'node:http';
import type {Placement, RunningRequest} from '@applebend/routing';
import type {Clock} from '@applebend/utils';
import type {AttemptFailure} from '../errors.js';
import type {HeaderCodec} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {TargetEntry} from '../state/target_entry.js';
import type {TargetResponse} from '../upstream/target_call.js';
import type {OwnAnswer} from './responses.js';
import type {RequestContext} from './request_context.js';
import type {ExchangeReport, PlacedFigures} from './exchange_report.js';

/** What an exchange uses; shared by all of them. @public */
export interface ExchangeTools {
  readonly state: FleetState;
  readonly codec: HeaderCodec;
  readonly agent: http.Agent;
  readonly clock: Clock;
  /** From 0 up to 1. */
  readonly random: () => number;
  /** Told of every placement, so that peers learn of it. */
  onPlaced(targetId: string, context: RequestContext): void;
  onUse(customer: string, asked: number, given: number): void;
  onEnd(report: ExchangeReport): void;
}

/** The parts of a request that came from the caller's socket. @public */
export interface CallerSide {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly body: Buffer | undefined;
}

/** The target's own answer at the deadline is waited for this long. */
const DEADLINE_GRACE_MS = 60;
const MAX_CONNECT_FAILURES = 3;
/** An answer is given up for another target after this many latency targets. */
const SILENCE_FACTOR = 1.6;
const MIN_SILENCE_MS = 400;
const MIN_LEFT_FOR_RETRY_MS = 60;
const RETRY_SOON_S = 0.3;
const PAUSE_FACTOR = 3;
const MIN_PAUSE_LIMIT_MS = 1000;

/** @public */
export class Exchange {
  private readonly used = new Set<string>();
  private sends = 0;
  private connectFailures = 0;
  private call: TargetCall | undefined;
  private running: RunningRequest | undefined;
  private stream: StreamRelay | undefined;
  private current: TargetEntry | undefined;
  private ended = false;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private lastFailure: AttemptFailure | undefined;
  private mayHaveRun = false;
  private placed: PlacedFigures | undefined;
  private headMs: number | undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly side: CallerSide,
    private readonly tools: ExchangeTools
  ) {}

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
    return this.context.route.runLimit === RUN_LIMIT.idempotent;
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

  private admit(): void {
    const {context, tools} = this;
    const {customer, prompt, config, route} = context;
    const cost = prompt === undefined ? 0 : serviceCost(prompt);
    const placement = this.findPlacement();
    const {shares, settings} = tools.state;
    const nowMs = this.nowMs;
    const name = customer ?? '';
    const level = shares.level(config.limits.tokensPerS, nowMs);
    const decision = decideAdmission({
      waitMs: placement?.candidate.waitMs ?? Infinity,
      latencyTargetMs: route.latencyTargetMs,
      leftMs: this.leftMs,
      hasRoom: placement?.hasRoom ?? false,
      occupancy: tools.state.targets.occupancyOf(context.service),
      given: shares.useOf(name, nowMs).given,
      level: prompt === undefined ? Infinity : level,
      windowMs: settings.shareWindowMs,
      spread: tools.random(),
    });
    const admitted = decision.kind === 'admit' && placement !== undefined;
    if (cost > 0) tools.onUse(name, cost, admitted ? cost : 0);
    if (admitted) {
      tools.state.budgetOf(context.service).onRequest(nowMs);
      this.send(placement);
      return;
    }
    this.finishWith({
      status: STATUS.unavailable,
      kind: decision.kind === 'refuse' ? decision.reason : 'no_target',
      execution: EXECUTION.notRun,
      retryAfterS:
        decision.kind === 'refuse' ? decision.retryAfterS : RETRY_SOON_S,
    });
  }

  private findPlacement(): Placement | undefined {
    const {context, tools, used} = this;
    const {prompt} = context;
    const candidates = candidatesFor(
      tools.state.targets.readyOf(context.service),
      {
        prompt,
        failureDomain: tools.state.settings.failureDomain,
        used,
        nowMs: this.nowMs,
        random: tools.random,
      }
    );
    return place(candidates, kvTokensOf(context));
  }

  private send(placement: Placement): void {
    const {context, tools, side} = this;
    const {candidate} = placement;
    const entry = tools.state.targets.get(candidate.id);
    if (entry === undefined) {
      this.giveUp(attemptFailure('connect_failed', EXECUTION.notRun, 'gone'));
      return;
    }
    const {prompt, route, caller} = context;
    const sentMs = this.nowMs;
    const aheadTokens = candidate.load.prefillTokens;
    const prefillTokens = candidate.uncachedTokens;
    this.current = entry;
    this.placed = {
      waitMs: candidate.waitMs,
      prefillMs: candidate.prefillMs,
      running: candidate.load.running,
      uncachedTokens: prefillTokens,
      kvTokens: candidate.load.kvTokens,
    };
    this.used.add(candidate.id);
    this.sends += 1;
    this.running = entry.own.start(prefillTokens, kvTokensOf(context));
    entry.health.onSent();
    if (prompt !== undefined) entry.cache.touch(prompt.parts);
    tools.onPlaced(candidate.id, context);
    const leftMs = Math.max(1, Math.floor(this.leftMs));
    this.call = TargetCall.create(
      {
        target: entry.target,
        method: side.req.method ?? 'GET',
        url: side.req.url ?? '/',
        headers: tools.codec.writeTarget({
          method: side.req.method ?? 'GET',
          caller: side.req.rawHeaders,
          deadlineMs: leftMs,
          targetId: candidate.id,
          customer: context.customer,
          lastEventId: this.stream?.lastId ?? caller.lastEventId,
          bodyBytes: side.body?.length ?? 0,
        }),
        body: side.body,
        attemptId: caller.attemptId,
        agent: tools.agent,
        codec: tools.codec,
        headTimeoutMs: this.headTimeoutMs(),
      },
      {
        onResponse: response => {
          const elapsedMs = this.nowMs - sentMs;
          this.headMs = elapsedMs;
          if (
            prompt !== undefined &&
            route.streaming &&
            response.status < 300
          ) {
            entry.model.observe(aheadTokens + prefillTokens, elapsedMs);
          }
          this.running?.onFirstEvent();
          this.onResponse(entry, response);
        },
        onFailure: failure => this.onFailure(failure),
      }
    );
  }

  /** Only a request that another target may run is given up early. */
  private headTimeoutMs(): number {
    const {route} = this.context;
    const leftMs = Math.max(1, this.leftMs + DEADLINE_GRACE_MS);
    if (!this.isRepeatable || this.sends >= route.maxAttempts) return leftMs;
    const silenceMs = SILENCE_FACTOR * route.latencyTargetMs;
    return Math.min(leftMs, Math.max(MIN_SILENCE_MS, silenceMs));
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
      this.mayHaveRun = true;
      this.sendAgain();
      return;
    }
    PlainRelay.create(response, this.side.res, this.tools.state.stopping, {
      onDone: () => {
        if (status < 500) entry.health.onSuccess();
        this.end('answered', status);
      },
      onBroken: () =>
        this.onFailure(
          attemptFailure('reset', EXECUTION.unknown, 'answer broke off')
        ),
    });
  }

  private relayStream(response: TargetResponse): void {
    const {route} = this.context;
    const {state} = this.tools;
    this.stream ??= StreamRelay.create(this.side.res, {
      pauseLimitMs: Math.max(
        MIN_PAUSE_LIMIT_MS,
        PAUSE_FACTOR * route.pauseTargetMs
      ),
      onDone: () => {
        this.current?.health.onSuccess();
        this.end('answered', STATUS.ok);
      },
      onBroken: message =>
        this.onFailure(attemptFailure('reset', EXECUTION.unknown, message)),
      onPause: () => this.onPause(),
    });
    this.stream.attach(response, state.stopping);
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
    this.lastFailure = failure;
    if (failure.kind !== 'caller_left') {
      this.current?.health.onFailure(this.nowMs);
    }
    const neverArrived = failure.kind === 'connect_failed';
    if (neverArrived) {
      this.sends -= 1;
      this.connectFailures += 1;
    }
    if (failure.execution === EXECUTION.unknown) this.mayHaveRun = true;
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
    if (this.ended || this.sends >= context.route.maxAttempts) return false;
    if (this.connectFailures >= MAX_CONNECT_FAILURES) return false;
    if (this.leftMs < MIN_LEFT_FOR_RETRY_MS) return false;
    if (!costsBudget) return true;
    const budget = tools.state.budgetOf(context.service);
    return budget.tryTake(tools.state.instanceCount, this.nowMs);
  }

  private sendAgain(): void {
    const placement = this.findPlacement();
    if (placement === undefined) {
      const message = 'no other target';
      this.giveUp(
        this.lastFailure ??
          attemptFailure('connect_failed', EXECUTION.notRun, message)
      );
      return;
    }
    this.send(placement);
  }

  private giveUp(failure: AttemptFailure): void {
    const notRun = failure.execution === EXECUTION.notRun && !this.mayHaveRun;
    this.finishWith({
      status: notRun ? STATUS.unavailable : STATUS.badGateway,
      kind: failure.kind,
      execution: notRun ? EXECUTION.notRun : EXECUTION.unknown,
      retryAfterS: notRun ? RETRY_SOON_S : undefined,
    });
  }

  private onDeadline(): void {
    if (this.ended) return;
    const sent = this.sends > 0;
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
    const {route} = this.context;
    if (this.isRepeatable || route.streaming) this.call?.abort();
    this.end('caller_left', 0);
  }

  private finishWith(answer: OwnAnswer): void {
    if (this.ended) return;
    sendOwnAnswer(this.side.res, answer, this.tools.state.stopping);
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
      sends: this.sends,
      target: this.current?.target.id,
      failure: this.lastFailure,
      placed: this.placed,
      headMs: this.headMs,
      elapsedMs: this.nowMs - context.arrivedMs,
      configVersion: context.config.version,
    });
  }
}

function kvTokensOf({prompt}: RequestContext): number {
  if (prompt === undefined) return 0;
  return prompt.inputTokens + prompt.outputTokens;
}
