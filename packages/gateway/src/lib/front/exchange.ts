import {containFaults} from '@applebend/utils';
import {RequestCrashes} from '../crash/request_crashes.js';
import {attemptFailure, NO_OTHER_TARGET} from '../errors.js';
import {EXECUTION} from '../execution.js';
import {TargetCall} from '../upstream/target_call.js';
import {AttemptFeedback} from './attempt_feedback.js';
import {AttemptTracker} from './attempt_tracker.js';
import {CallLifetime} from './call_lifetime.js';
import {disconnectOutcome} from './disconnect_outcome.js';
import {recordUsage} from './record_usage.js';
import {ExchangeBody} from './exchange_body.js';
import {ExchangeEnding, RETRY_AFTER_S} from './exchange_ending.js';
import {ExchangeWaits} from './exchange_waits.js';
import {forwardFault} from './forward_fault.js';
import {requestContent} from './request_content.js';
import {RequestPlacer} from './request_placer.js';
import {reserveSend} from './send_check.js';
import {RetryGate} from './retry_gate.js';
import {ResponseRelay} from './response_relay.js';
import {targetCallOptions} from './target_call_options.js';
import {VersionPin} from './version_pin.js';

import type {Placement, Target, VersionNeed} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';
import type {Execution} from '../execution.js';
import type {TargetResponse} from '../upstream/target_call.js';
import type {RequestContext} from './request_context.js';
import type {InboundRequest, ExchangeDeps} from './exchange_deps.js';

/** Handles one checked request, from admission to its outcome. @public */
export class Exchange {
  private readonly attempts: AttemptTracker;
  private readonly ending: ExchangeEnding;
  private readonly crashes: RequestCrashes;
  private readonly retries: RetryGate;
  /** The target of the present or last attempt. */
  private target: Target | undefined;
  /** Id of the last event that was forwarded before the present attempt. */
  private resumedAfter: string | undefined;
  private readonly versionPin: VersionPin;
  private readonly placer: RequestPlacer;
  private call: TargetCall | undefined;
  private feedback: AttemptFeedback | undefined;
  private readonly body: ExchangeBody;
  private readonly lifetime: CallLifetime;
  private readonly relay: ResponseRelay;
  private readonly waits: ExchangeWaits;
  private readonly contain = containFaults(err => this.onFault(err));

  private constructor(
    private readonly context: RequestContext,
    private readonly inbound: InboundRequest,
    private readonly deps: ExchangeDeps
  ) {
    this.attempts = AttemptTracker.create(context.route.maxAttempts);
    this.versionPin = VersionPin.create(context, deps.state);
    this.waits = ExchangeWaits.create(context, deps, this.contain);
    this.crashes = RequestCrashes.create(
      deps.state.crashGuard,
      requestContent(context, inbound),
      context.prompt
    );
    const {attempts, crashes, versionPin} = this;
    this.placer = RequestPlacer.create(context, deps, attempts, versionPin);
    this.body = ExchangeBody.create(inbound, crashes);
    this.lifetime = CallLifetime.create(this.body);
    this.retries = RetryGate.create(context, deps, attempts, crashes);
    this.ending = ExchangeEnding.create(
      context,
      inbound,
      deps,
      attempts,
      crashes,
      () => this.onEnded()
    );
    this.relay = ResponseRelay.create(inbound.res, context.route, deps.state, {
      onDone: status => this.onForwarded(status),
      onAborted: message =>
        this.onFailure(attemptFailure('reset', EXECUTION.unknown, message)),
      onEvents: () => this.crashes.onEvents(this.nowMs),
      onStall: () => this.onSilence(),
      contain: this.contain,
    });
  }

  /** Starts an exchange, which ends by itself. */
  static create(
    context: RequestContext,
    inbound: InboundRequest,
    deps: ExchangeDeps
  ): Exchange {
    const exchange = new Exchange(context, inbound, deps);
    exchange.contain(() => exchange.start())();
    return exchange;
  }

  private get nowMs(): number {
    return this.deps.clock.monotonicMs();
  }

  private get leftMs(): number {
    return this.context.deadlineAtMs - this.nowMs;
  }

  private start(): void {
    const {res} = this.inbound;
    const onClose = this.contain(() => {
      if (!res.writableFinished) this.onCallerDisconnected();
    });
    res.on('close', onClose);
    const {waits} = this;
    waits.startDeadline(this.leftMs, () => this.onDeadline());
    waits.whenVersionKnown(need =>
      waits.whenTargetsCurrent(() => this.admit(need))
    );
  }

  /** Whether any target may have run the request. */
  private get execution(): Execution {
    const isSent = this.attempts.mayHaveRun || this.call?.isSent === true;
    return isSent ? EXECUTION.unknown : EXECUTION.notRun;
  }

  private admit(need: VersionNeed): void {
    const {context, deps} = this;
    const {quarantineLeftMs} = this.crashes;
    if (quarantineLeftMs > 0) {
      this.ending.refuse('quarantined', quarantineLeftMs / 1000);
      return;
    }
    if (!this.versionPin.onNeed(need)) {
      this.ending.refuse('version_unknown', RETRY_AFTER_S);
      return;
    }
    const decision = this.placer.decide();
    recordUsage(deps, context, decision?.admission.kind === 'admit');
    if (decision === undefined) {
      this.ending.refuseWithoutTarget();
      return;
    }
    const {admission, input, placement} = decision;
    if (admission.kind === 'refuse') {
      this.ending.noteRefusal(input);
      this.ending.refuse(admission.reason, admission.retryAfterS);
      return;
    }
    deps.state.retryBudgetOf(context.service).onRequest(this.nowMs);
    this.send(placement);
  }

  private send({candidate}: Placement): void {
    const {context, deps} = this;
    const chosen = deps.state.targets.get(candidate.id);
    const reserved = reserveSend(chosen, this.leftMs, this.nowMs);
    if (!reserved.ok) {
      this.ending.giveUp(reserved.err);
      return;
    }
    const record = reserved.value;
    this.ending.notePlacement(candidate);
    this.ending.noteSend(record);
    this.target = record.target;
    this.resumedAfter = this.relay.lastEventId;
    this.attempts.onSend(candidate.id);
    this.crashes.onSend(record.target, this.nowMs);
    const feedback = AttemptFeedback.create(record, candidate, context, deps);
    this.feedback = feedback;
    const options = targetCallOptions(context, this.inbound, deps, {
      target: record.target,
      leftMs: this.leftMs,
      resumeAfter: this.resumedAfter,
      predictedMs: candidate.waitMs + candidate.prefillMs,
      maySend: () => deps.state.mayStillSend(record),
      canFailOver: this.retries.isIdempotent && !this.attempts.isLastAttempt,
      contain: this.contain,
    });
    this.call = TargetCall.create(options, {
      onResponse: response => {
        this.crashes.onHead(this.nowMs);
        this.ending.noteHead(response.status, feedback.onHead(response));
        this.onResponse(response);
      },
      onSignals: signals => deps.state.onTargetSignals(record, signals),
      onSilence: () => this.onSilence(),
      onFailure: failure => this.onFailure(failure),
      onBodyDropped: () => this.body.drop(),
    });
    this.lifetime.onCallOpened();
    if (this.call.holdsBody) this.body.hold();
  }

  /** Forwards a response, or retries an idempotent request after a 5xx. */
  private onResponse(response: TargetResponse): void {
    const {relay, retries} = this;
    const fault = forwardFault(response, relay, retries.isIdempotent);
    if (fault !== undefined) {
      response.res.destroy();
      this.onFailure(fault);
      return;
    }
    if (relay.isStream(response)) {
      this.versionPin.onBegun(this.target);
    } else if (retries.tryAcquireAfterStatus(response.status)) {
      response.res.destroy();
      this.lifetime.onCallEnded();
      this.crashes.onUnresolved(this.nowMs);
      this.endRunning();
      this.attempts.onExecuted();
      this.waits.whenTargetsCurrent(() => this.retry());
      return;
    }
    relay.forward(response);
  }

  /**
   * Lets another target take over from one that is late with its response or
   * with the next event, if there is one and a retry is allowed. Otherwise the
   * attempt goes on: its target may only be slow.
   */
  private onSilence(): void {
    if (this.ending.hasEnded || !this.retries.isIdempotent) return;
    const {areTargetsCurrent} = this.deps.state;
    const placement = areTargetsCurrent
      ? this.placer.placeAgain(this.target)
      : undefined;
    if (placement === undefined || !this.retries.tryAcquire(true)) {
      this.feedback?.onSilence();
      return;
    }
    this.abortCall();
    this.recordFailure(
      attemptFailure('target_silent', EXECUTION.unknown, 'silent for too long')
    );
    this.send(placement);
  }

  private onForwarded(status: number): void {
    if (status < 300) this.crashes.onServed();
    else this.crashes.onUnresolved(this.nowMs);
    if (status < 500) this.feedback?.onServed();
    this.lifetime.onCallEnded();
    this.ending.end('answered', status);
  }

  private recordFailure(failure: AttemptFailure): void {
    this.feedback?.onFailure(failure);
    this.endRunning();
    this.attempts.onFailure(failure);
  }

  /** What failed is of interest also if the caller has left since. */
  private onFailure(failure: AttemptFailure): void {
    const {hasEnded} = this.ending;
    // First, so that a loss does not eject a target which this ejects already.
    if (!hasEnded) this.recordFailure(failure);
    const checked = this.crashes.onFailure(failure, this.nowMs);
    this.lifetime.onCallEnded();
    if (hasEnded) return;
    if (failure.kind === 'reset') void this.onReset(failure, checked);
    else this.retryOrGiveUp(failure);
  }

  /** A request that crashed its target may be one that crashes all of them. */
  private async onReset(
    failure: AttemptFailure,
    checked: Promise<void>
  ): Promise<void> {
    await checked;
    if (this.ending.hasEnded) return;
    this.contain(() => this.retryOrGiveUp(failure))();
  }

  /** Ends the present attempt; its target may crash under it all the same. */
  private abortCall(): void {
    if (this.call?.isSent === true) this.crashes.onUnresolved(this.nowMs);
    else this.crashes.onNotRun();
    this.call?.abort();
  }

  private retryOrGiveUp(failure: AttemptFailure): void {
    // A response that broke off after a part was forwarded has closed it.
    const canRespond = !this.ending.hasEnded && !this.inbound.res.destroyed;
    if (canRespond && this.retries.tryAcquireAfter(failure)) {
      this.waits.whenTargetsCurrent(() => this.retry());
      return;
    }
    this.ending.giveUp(failure);
  }

  private retry(): void {
    const placement = this.placer.placeAgain(this.target);
    if (placement === undefined) {
      this.ending.giveUp(this.attempts.lastFailure ?? NO_OTHER_TARGET);
      return;
    }
    this.send(placement);
  }

  private onDeadline(): void {
    if (this.ending.hasEnded) return;
    const {execution} = this;
    this.abortCall();
    this.ending.timeOut(execution);
  }

  /** Frees the target, but lets a non-stream finish that must run only once. */
  private onCallerDisconnected(): void {
    if (this.ending.hasEnded) return;
    const {route} = this.context;
    const abort = this.contain(() => this.abortCall());
    const mayRunOn = !this.retries.isIdempotent && !route.streaming;
    if (mayRunOn && this.lifetime.isCallOpen) {
      this.lifetime.runOn(abort, this.leftMs);
    } else abort();
    this.ending.end(disconnectOutcome(this.inbound.req.socket), 0);
  }

  /** Ends the exchange, which may have stopped halfway through a change. */
  private onFault(err: unknown): void {
    const {deps, context} = this;
    deps.onFault(err, context.caller.attemptId);
    if (this.ending.hasEnded) return;
    const failure = attemptFailure('internal_fault', this.execution, 'fault');
    try {
      this.abortCall();
      this.attempts.onFailure(failure);
      this.ending.giveUp(failure);
    } catch (again) {
      deps.onFault(again, context.caller.attemptId);
      this.ending.breakOff();
    }
  }

  private onEnded(): void {
    this.lifetime.onExchangeEnded();
    this.waits.end();
    this.endRunning();
  }

  private endRunning(): void {
    this.feedback?.end();
    this.relay.detach();
  }
}
