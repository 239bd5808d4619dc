import {match} from 'ts-pattern';
import {AttemptHistory} from './attempt_history.js';
import {ClaimGate} from './claim_gate.js';
import {refusal, noResponseRefusal} from './refusals.js';
import {costSoFar, finalCost, tokenTimesOf} from './request_cost.js';
import {RequestTracker} from './request_tracker.js';
import {slotWaitRefusal, waitForSlot} from './slot_wait.js';
import {TargetAttempt} from './target_attempt.js';

import type {
  OutputEstimator,
  Refusal,
  RetryBudget,
  SlotOutcome,
} from '@applebend/core';
import type {EngineStream} from '@applebend/externals';
import type {Logger, Metrics, RequestTrace} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {CellTask} from '../cells/cell_task.js';
import type {Acquisition, GrantedSlot} from '../cells/slot_waiters.js';
import type {ClaimTask} from '../claims/claim_task.js';
import type {LossTask} from '../losses/loss_task.js';
import type {TargetDirectory} from '../membership/target_directory.js';
import type {Settings} from '../settings/settings.js';
import type {AdmittedRequest} from './admission.js';
import type {CompleteResponse} from './response_relay.js';
import type {AttemptOutcome, NoResponseReason} from './target_attempt.js';

/** Dependencies that all requests of an instance share. @public */
export interface RequestRunnerDeps {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly targets: TargetDirectory;
  readonly claims: ClaimTask;
  readonly losses: LossTask;
  readonly budget: RetryBudget;
  readonly estimator: OutputEstimator;
  readonly cellOf: (service: string) => CellTask | undefined;
}

const MS_PER_S = 1000;

/** Whether a request has ended with its attempt; if not, it is queued again. */
interface AttemptResult {
  readonly done: boolean;
  readonly refusal?: Refusal | undefined;
}

/** Runs one admitted request: claim, slot, attempt and retries. @public */
export class RequestRunner {
  private readonly tracker: RequestTracker;
  private readonly history: AttemptHistory;
  private readonly startedAtMs: number;
  private readonly deadlineAtMs: number;
  private readonly gate: ClaimGate;
  private replayed = false;

  private constructor(
    private readonly deps: RequestRunnerDeps,
    private readonly request: AdmittedRequest,
    private readonly trace: RequestTrace,
    private readonly log: Logger
  ) {
    const {claims, clock, metrics} = deps;
    const {requestId} = request.caller;
    this.history = AttemptHistory.create(requestId, deps.budget);
    this.gate = ClaimGate.create(claims, clock, request);
    this.tracker = RequestTracker.create(!this.gate.hasKey, log, metrics);
    this.startedAtMs = deps.clock.monotonicMs();
    this.deadlineAtMs = this.startedAtMs + request.deadlineMs;
  }

  static create(
    deps: RequestRunnerDeps,
    request: AdmittedRequest,
    trace: RequestTrace,
    log: Logger
  ): RequestRunner {
    return new RequestRunner(deps, request, trace, log);
  }

  /** Runs the request; resolves when it has ended. */
  async run(): Promise<void> {
    const {caller, cls, customer, serviceName} = this.request;
    this.deps.budget.onNewRequest();
    const refused = await this.claimAndAttempt();
    if (refused !== undefined) this.refuse(refused);
    if (this.tracker.state.outcome === undefined)
      this.tracker.advance('abandoned');
    this.gate.releaseIfNotRun(this.tracker.ran);
    const end = this.replayed ? 'replayed' : this.tracker.state.outcome;
    this.deps.metrics.requests.inc({service: serviceName, end});
    this.trace.end(refused?.kind);
    this.log.debug('request_ended', {
      end,
      refused: refused?.kind,
      customer: customer.name,
      class: cls.name,
      callerGone: caller.gone.aborted,
    });
  }

  /** Returns a refusal, or undefined if the caller needs no refusal. */
  private async claimAndAttempt(): Promise<Refusal | undefined> {
    if (this.gate.hasKey) {
      this.tracker.advance('claim_started');
      this.trace.startSpan('claim');
    }
    const gate = await this.gate.acquire();
    return match(gate)
      .with({type: 'passed'}, () => this.attemptUntilDone())
      .with({type: 'replayed'}, () => {
        this.replayed = true;
        return undefined;
      })
      .with({type: 'refused'}, ({refusal}) => refusal)
      .exhaustive();
  }

  private async attemptUntilDone(): Promise<Refusal | undefined> {
    for (;;) {
      if (!this.deps.targets.hasAvailableTarget(this.request.serviceName)) {
        const message = 'the service has no target';
        return refusal('no_target', message, this.tracker.ran);
      }
      const acquired = await this.acquireSlot();
      if (acquired === undefined) {
        const message = 'the service is being set up';
        return refusal('not_ready', message, this.tracker.ran);
      }
      if (acquired.type !== 'granted') {
        return slotWaitRefusal(acquired, this.tracker.ran);
      }
      this.onGranted(acquired.slot);
      const result = await this.runAttempt(acquired.slot);
      if (result.done) return result.refusal;
    }
  }

  /** Returns undefined if the service has no cell here yet. */
  private async acquireSlot(): Promise<Acquisition | undefined> {
    const {request, cell, startedAtMs, deadlineAtMs} = this;
    if (cell === undefined) return undefined;
    if (this.tracker.state.phase !== 'queued') this.tracker.advance('queued');
    const {serviceName: service, customer} = request;
    this.trace.startSpan('queue', {service, customer: customer.name});
    const {clock} = this.deps;
    return waitForSlot({
      cell,
      request,
      avoid: this.history.avoid,
      startedAtMs,
      deadlineAtMs,
      clock,
    });
  }

  private onGranted(slot: GrantedSlot): void {
    this.tracker.advance('granted');
    const waitedMs = this.deps.clock.monotonicMs() - this.startedAtMs;
    this.deps.metrics.queueSeconds.observe(waitedMs / MS_PER_S);
    this.trace.startSpan('grant', {target: slot.target});
  }

  /** Makes one attempt; `done` is false if the request was queued again. */
  private async runAttempt(slot: GrantedSlot): Promise<AttemptResult> {
    const attemptId = this.history.begin();
    const address = this.deps.targets.addressOf(slot.target);
    if (address === undefined) {
      this.release(slot, 'unreachable', 0);
      return this.requeueUnsent('unreachable');
    }
    const attempt = TargetAttempt.create({
      request: this.request,
      attemptId,
      address,
      clock: this.deps.clock,
      connectTimeoutMs: this.deps.settings.limits.connect_timeout_ms,
      stallTimeoutMs: this.deps.settings.limits.stall_timeout_ms,
      deadlineAtMs: this.deadlineAtMs,
      canSend: () => this.canSend(slot),
      onResponseStart: () => {
        this.trace.startSpan('answer');
        this.tracker.advance('response_started');
      },
      onTokens: stream => this.onTokens(slot, stream),
      addTraceHeaders: headers => this.trace.inject(headers),
    });
    this.trace.startSpan('target', {target: slot.target});
    const outcome = await attempt.run();
    return this.onAttemptEnd(slot, attempt.stream, outcome);
  }

  /** The last check before the first byte is sent. */
  private canSend(slot: GrantedSlot): boolean {
    const nowMs = this.deps.clock.monotonicMs();
    if (nowMs > slot.expiresAtMs) return false;
    if (this.deps.targets.isLeaving(slot.target)) return false;
    if (this.gate.claimExpired) return false;
    return this.tracker.advance('send_started');
  }

  private onTokens(slot: GrantedSlot, stream: EngineStream): void {
    this.cell?.progress(slot.grantId, costSoFar(this.request, stream));
  }

  private async onAttemptEnd(
    slot: GrantedSlot,
    stream: EngineStream,
    outcome: AttemptOutcome
  ): Promise<AttemptResult> {
    return match(outcome)
      .with({type: 'completed'}, ({response}) => {
        this.onCompleted(slot, stream, response);
        return {done: true};
      })
      .with({type: 'caller_gone'}, () => {
        const sent = this.tracker.state.attempts > 0;
        const cost = sent ? costSoFar(this.request, stream) : 0;
        this.release(slot, sent ? 'failed' : 'withdrawn', cost);
        return {done: true};
      })
      .with({type: 'not_sent'}, ({reason}) => {
        const unreachable = reason === 'unreachable';
        this.release(slot, unreachable ? 'unreachable' : 'withdrawn', 0);
        if (unreachable) this.history.onTargetFailed(slot.target);
        return this.requeueUnsent(reason);
      })
      .with({type: 'no_response'}, ({reason}) =>
        this.onNoResponse(slot, stream, reason)
      )
      .with({type: 'partial'}, ({reason}) => {
        void this.releaseFailedSlot(slot, stream, reason === 'lost');
        this.tracker.advance('connection_lost');
        const kind = reason === 'stalled' ? 'target_stalled' : 'target_lost';
        const message = 'the answer broke off';
        return {done: true, refusal: refusal(kind, message, 'ran')};
      })
      .exhaustive();
  }

  private onCompleted(
    slot: GrantedSlot,
    stream: EngineStream,
    response: CompleteResponse
  ): void {
    const {cls, customer} = this.request;
    const {usage} = response;
    this.tracker.advance('response_completed');
    const cost = finalCost(this.request, usage);
    const times = tokenTimesOf(stream);
    this.cell?.finish(slot.grantId, {outcome: 'answered', cost, times});
    if (usage !== undefined) {
      this.deps.estimator.observe(customer.name, cls.name, usage.outputTokens);
    }
    if (times !== undefined) {
      const {firstTokenSeconds, betweenTokensSeconds} = this.deps.metrics;
      firstTokenSeconds.observe(times.firstTokenMs / MS_PER_S);
      betweenTokensSeconds.observe(times.betweenTokensMs / MS_PER_S);
    }
    this.gate.recordResponse(response);
  }

  private async onNoResponse(
    slot: GrantedSlot,
    stream: EngineStream,
    reason: NoResponseReason
  ): Promise<AttemptResult> {
    const recorded = this.releaseFailedSlot(slot, stream, reason === 'lost');
    if (reason === 'mismatched') this.deps.metrics.mismatchedResponses.inc();
    const refused = noResponseRefusal(reason, this.tracker.ran);
    const final = reason === 'deadline' || reason === 'stalled';
    if (final || !this.canRetry() || !(await recorded)) {
      this.tracker.advance('connection_lost');
      return {done: true, refusal: refused};
    }
    this.history.onTargetFailed(slot.target);
    this.deps.metrics.retries.inc({reason});
    this.tracker.advance('requeued');
    return {done: false};
  }

  /**
   * Releases the slot and reports a lost target. Returns false if the loss is
   * not on the log, in which case the request must not be retried.
   */
  private async releaseFailedSlot(
    slot: GrantedSlot,
    stream: EngineStream,
    lost: boolean
  ): Promise<boolean> {
    const cost = costSoFar(this.request, stream);
    this.release(slot, lost ? 'target_lost' : 'failed', cost);
    if (!lost) return true;
    this.log.warn('target_lost', {target: slot.target});
    const {fingerprint} = this.request;
    const seenAtMs = this.deps.clock.wallMs();
    const {target} = slot;
    return this.deps.losses.report({fingerprint, target, seenAtMs});
  }

  private canRetry(): boolean {
    if (!this.tracker.state.idempotent) return false;
    return this.history.tryRetry();
  }

  /** Queues an unsent request again, or refuses it if that is not allowed. */
  private requeueUnsent(reason: 'unreachable' | 'lapsed'): AttemptResult {
    const allowed = reason !== 'unreachable' || this.history.tryRetry();
    if (this.gate.claimExpired || !allowed) {
      const message = 'no target could be reached';
      const {ran} = this.tracker;
      return {done: true, refusal: refusal('target_unreachable', message, ran)};
    }
    this.deps.metrics.retries.inc({reason});
    this.tracker.advance('grant_returned');
    return {done: false};
  }

  private release(slot: GrantedSlot, outcome: SlotOutcome, cost: number): void {
    this.cell?.finish(slot.grantId, {outcome, cost});
  }

  private refuse(refused: Refusal): void {
    if (this.request.caller.gone.aborted) return;
    const {kind, ran} = refused;
    this.deps.metrics.refusals.inc({kind, ran});
    this.log.info('refused', {kind, ran, customer: this.request.customer.name});
    this.request.caller.refuse(refused);
  }

  private get cell(): CellTask | undefined {
    return this.deps.cellOf(this.request.serviceName);
  }
}
