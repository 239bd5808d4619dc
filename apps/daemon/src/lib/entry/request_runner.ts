/**
 * Carries one admitted request from its queue to its end: claim, slot,
 * attempt, and further attempts where running it again is allowed.
 */
import {match, P} from 'ts-pattern';
import {modelCost} from '@applebend/core';
import {notRun, refusal} from './refusals.js';
import {RequestTracker} from './request_tracker.js';
import {TargetAttempt} from './target_attempt.js';

import type {
  OutputEstimator,
  Refusal,
  RetryBudget,
  SlotEnd,
} from '@applebend/core';
import type {EngineStream} from '@applebend/platform';
import type {Logger, Metrics, RequestTrace} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {CellTask, GrantedSlot} from '../cells/cell_task.js';
import type {Claim, ClaimTask} from '../claims/claim_task.js';
import type {LossTask} from '../losses/loss_task.js';
import type {TargetDirectory} from '../membership/target_directory.js';
import type {Settings} from '../settings/settings.js';
import type {AdmittedRequest} from './admission.js';
import type {WholeAnswer} from './answer_relay.js';
import type {AttemptEnd} from './target_attempt.js';

/** What all runs of an instance share. @public */
export interface RunnerParts {
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

const MAX_ATTEMPTS = 3;
const MS_PER_S = 1000;

/** @public */
export class RequestRunner {
  private readonly tracker: RequestTracker;
  private readonly avoid: string[] = [];
  private readonly startedAtMs: number;
  private readonly deadlineAtMs: number;
  private attempts = 0;
  private claim: Claim | undefined;
  private replayed = false;

  private constructor(
    private readonly parts: RunnerParts,
    private readonly request: AdmittedRequest,
    private readonly trace: RequestTrace,
    private readonly log: Logger
  ) {
    const idempotent = request.idempotencyKey === undefined;
    this.tracker = RequestTracker.create(idempotent, log, parts.metrics);
    this.startedAtMs = parts.clock.monotonicMs();
    this.deadlineAtMs = this.startedAtMs + request.deadlineMs;
  }

  static create(
    parts: RunnerParts,
    request: AdmittedRequest,
    trace: RequestTrace,
    log: Logger
  ): RequestRunner {
    return new RequestRunner(parts, request, trace, log);
  }

  /** Runs the request; the caller has its whole answer when this resolves. */
  async run(): Promise<void> {
    const {caller, cls, customer, serviceName} = this.request;
    this.parts.budget.onFreshRequest();
    const refused = (await this.takeClaim()) ?? (await this.attemptAll());
    if (refused !== undefined) this.refuse(refused);
    if (this.tracker.state.end === undefined) this.tracker.advance('gave_up');
    this.releaseUnsent();
    const end = this.replayed ? 'replayed' : this.tracker.state.end;
    this.parts.metrics.requests.inc({service: serviceName, end});
    this.trace.end(refused?.kind);
    this.log.debug('request_ended', {
      end,
      refused: refused?.kind,
      customer: customer.name,
      class: cls.name,
      callerGone: caller.gone.aborted,
    });
  }

  /** Claims the right to run a non-idempotent request. */
  private async takeClaim(): Promise<Refusal | undefined> {
    const {idempotencyKey, customer, fingerprint} = this.request;
    if (idempotencyKey === undefined) return undefined;
    this.tracker.advance('claim_started');
    this.trace.next('claim');
    const outcome = await this.parts.claims.claim({
      customer: customer.name,
      key: idempotencyKey,
      fingerprint,
    });
    return match(outcome)
      .with({type: 'won', claim: P.select()}, claim => {
        this.claim = claim;
        return undefined;
      })
      .with({type: 'done'}, ({done}) => this.replay(done))
      .with({type: 'in_progress'}, () =>
        refusal('claim_in_progress', 'this key is being run now', 'unknown')
      )
      .with({type: 'outcome_unknown'}, () =>
        refusal(
          'claim_outcome_unknown',
          'this key was claimed, and whether it ran is not known',
          'unknown'
        )
      )
      .with({type: 'key_reused'}, () =>
        notRun('idempotency_key_reused', 'this key names another request')
      )
      .with({type: 'unavailable'}, () =>
        notRun('claim_log_unavailable', 'the claim could not be recorded')
      )
      .exhaustive();
  }

  /** Gives a repeat the answer of the request that ran. */
  private replay(done: {
    status: number;
    contentType: string;
    body: string | null;
  }): Refusal | undefined {
    if (done.body === null) {
      const message = 'this key has run; its answer was too large to keep';
      return refusal('claim_outcome_unknown', message, 'ran');
    }
    const {caller} = this.request;
    caller.begin(done.status, {
      'content-type': done.contentType,
      'content-length': String(Buffer.byteLength(done.body)),
      'idempotency-replayed': 'true',
    });
    caller.end(done.body);
    this.replayed = true;
    this.trace.next('replay');
    return undefined;
  }

  private async attemptAll(): Promise<Refusal | undefined> {
    if (this.request.caller.begun) return undefined;
    for (;;) {
      const slot = await this.acquireSlot();
      if (slot.type === 'refused') return slot.refusal;
      const {done, refusal} = await this.useSlot(slot.slot);
      if (done) return refusal;
    }
  }

  private async acquireSlot(): Promise<
    | {type: 'granted'; slot: GrantedSlot}
    | {type: 'refused'; refusal: Refusal | undefined}
  > {
    const {caller, serviceName, cls, customer} = this.request;
    const cell = this.parts.cellOf(serviceName);
    if (cell === undefined) {
      return refused(notRun('not_ready', 'the service is being set up'));
    }
    if (this.tracker.state.phase !== 'queued') this.tracker.advance('queued');
    this.trace.next('queue', {service: serviceName, customer: customer.name});
    const leftMs = this.deadlineAtMs - this.parts.clock.monotonicMs();
    const deadline = new AbortController();
    const timer = setTimeout(() => deadline.abort(), Math.max(0, leftMs));
    const {requestId} = caller;
    const acquired = await cell.acquire(
      {
        requestId,
        customer: customer.name,
        className: cls.name,
        estimate: this.request.estimate,
        fingerprint: this.request.fingerprint,
        affinity: this.request.affinity,
        avoid: [...this.avoid],
        waitedMs: this.parts.clock.monotonicMs() - this.startedAtMs,
      },
      AbortSignal.any([caller.gone, deadline.signal])
    );
    clearTimeout(timer);
    return match(acquired)
      .with({type: 'granted'}, ({slot}) => this.onGranted(slot))
      .with({type: 'cancelled'}, () => refused(this.onWaitCancelled()))
      .with({type: 'refused', reason: 'queue_full'}, ({retryAfterMs}) => {
        const message = 'too many requests of this customer wait';
        const {ran} = this.tracker;
        return refused(refusal('queue_full', message, ran, retryAfterMs));
      })
      .with({type: 'refused', reason: 'quarantined'}, () =>
        refused(
          refusal(
            'quarantined',
            'equal requests were running when targets were lost',
            this.tracker.ran,
            undefined
          )
        )
      )
      .exhaustive();
  }

  private onGranted(slot: GrantedSlot) {
    this.tracker.advance('granted');
    const waitedMs = this.parts.clock.monotonicMs() - this.startedAtMs;
    this.parts.metrics.queueSeconds.observe(waitedMs / MS_PER_S);
    this.trace.next('grant', {target: slot.target});
    return {type: 'granted' as const, slot};
  }

  private onWaitCancelled(): Refusal | undefined {
    if (this.request.caller.gone.aborted) return undefined;
    const message = 'no slot came free before the deadline';
    return refusal('deadline_passed', message, this.tracker.ran);
  }

  /** Makes one attempt; `done` is false when the request may run again. */
  private async useSlot(
    slot: GrantedSlot
  ): Promise<{done: boolean; refusal?: Refusal | undefined}> {
    this.attempts += 1;
    const address = this.parts.targets.addressOf(slot.target);
    if (address === undefined) {
      this.giveBack(slot, 'unreachable', 0);
      return this.again('unreachable');
    }
    const attempt = TargetAttempt.create({
      request: this.request,
      attemptId: `${this.request.caller.requestId}.${this.attempts}`,
      address,
      clock: this.parts.clock,
      connectTimeoutMs: this.parts.settings.limits.connect_timeout_ms,
      stallTimeoutMs: this.parts.settings.limits.stall_timeout_ms,
      deadlineAtMs: this.deadlineAtMs,
      onSending: () => this.maySend(slot),
      onAnswerBegins: () => {
        this.trace.next('answer');
        this.tracker.advance('answer_begun');
      },
      onTokens: stream => this.onTokens(slot, stream),
      addTraceHeaders: headers => this.trace.inject(headers),
    });
    this.trace.next('target', {target: slot.target});
    const end = await attempt.run();
    return this.onAttemptEnd(slot, attempt.stream, end);
  }

  /** The last check before the first byte leaves. */
  private maySend(slot: GrantedSlot): boolean {
    const nowMs = this.parts.clock.monotonicMs();
    if (nowMs > slot.expiresAtMs) return false;
    if (this.parts.targets.isLeaving(slot.target)) return false;
    if (this.claim !== undefined && nowMs > this.claim.expiresAtMs) {
      return false;
    }
    return this.tracker.advance('bytes_leaving');
  }

  private onTokens(slot: GrantedSlot, stream: EngineStream): void {
    this.cell?.progress(slot.grantId, this.costOf(stream));
  }

  private async onAttemptEnd(
    slot: GrantedSlot,
    stream: EngineStream,
    end: AttemptEnd
  ): Promise<{done: boolean; refusal?: Refusal | undefined}> {
    return match(end)
      .with({type: 'answered'}, ({answer}) => {
        this.onAnswered(slot, stream, answer);
        return {done: true};
      })
      .with({type: 'caller_gone'}, () => {
        const sent = this.tracker.state.attempts > 0;
        const cost = sent ? this.costOf(stream) : 0;
        this.giveBack(slot, sent ? 'failed' : 'withdrawn', cost);
        return {done: true};
      })
      .with({type: 'not_sent'}, ({reason}) => {
        const unreachable = reason === 'unreachable';
        this.giveBack(slot, unreachable ? 'unreachable' : 'withdrawn', 0);
        if (unreachable) this.avoid.push(slot.target);
        return this.again(reason);
      })
      .with({type: 'unanswered'}, ({reason}) =>
        this.onUnanswered(slot, stream, reason)
      )
      .with({type: 'partial'}, ({reason}) => {
        void this.onBroken(slot, stream, reason === 'lost');
        this.tracker.advance('connection_broke');
        const kind = reason === 'stalled' ? 'target_stalled' : 'target_lost';
        const message = 'the answer broke off';
        return {done: true, refusal: refusal(kind, message, 'ran')};
      })
      .exhaustive();
  }

  private onAnswered(
    slot: GrantedSlot,
    stream: EngineStream,
    answer: WholeAnswer
  ): void {
    const {cls, customer} = this.request;
    this.tracker.advance('answer_whole');
    const usage = answer.usage;
    const cost =
      this.request.call === undefined || usage === undefined
        ? this.request.estimate
        : modelCost(customer.template, usage);
    const timed = stream.outputTokens > 0;
    const {firstTokenMs, betweenTokensMs} = stream;
    const times = timed ? {firstTokenMs, betweenTokensMs} : undefined;
    this.cell?.finish(slot.grantId, {end: 'answered', cost, times});
    if (usage !== undefined) {
      this.parts.estimator.learn(customer.name, cls.name, usage.outputTokens);
    }
    if (timed) {
      const {firstTokenSeconds, betweenTokensSeconds} = this.parts.metrics;
      firstTokenSeconds.observe(firstTokenMs / MS_PER_S);
      betweenTokensSeconds.observe(betweenTokensMs / MS_PER_S);
    }
    if (this.claim !== undefined) {
      const {status, contentType, body = ''} = answer;
      this.parts.claims.done(this.claim.claimId, status, contentType, body);
    }
  }

  private async onUnanswered(
    slot: GrantedSlot,
    stream: EngineStream,
    reason: 'lost' | 'broke' | 'stalled' | 'mismatched' | 'deadline'
  ): Promise<{done: boolean; refusal?: Refusal | undefined}> {
    const recorded = this.onBroken(slot, stream, reason === 'lost');
    if (reason === 'mismatched') this.parts.metrics.mismatchedAnswers.inc();
    const {ran} = this.tracker;
    const refused = match(reason)
      .with('lost', () => refusal('target_lost', 'the target was lost', ran))
      .with('broke', () => refusal('target_lost', 'no answer came', ran))
      .with('stalled', () => refusal('target_stalled', 'no answer came', ran))
      .with('mismatched', () =>
        refusal('answer_mismatched', 'another answer came', ran)
      )
      .with('deadline', () =>
        refusal('deadline_passed', 'no answer came before the deadline', ran)
      )
      .exhaustive();
    const final = reason === 'deadline' || reason === 'stalled';
    if (final || !this.mayRunAgain() || !(await recorded)) {
      this.tracker.advance('connection_broke');
      return {done: true, refusal: refused};
    }
    this.avoid.push(slot.target);
    this.parts.metrics.retries.inc({reason});
    this.tracker.advance('requeued');
    return {done: false};
  }

  /** Tells of a lost target; false when the log could not keep that. */
  private async onBroken(
    slot: GrantedSlot,
    stream: EngineStream,
    lost: boolean
  ): Promise<boolean> {
    this.giveBack(slot, lost ? 'target_lost' : 'failed', this.costOf(stream));
    if (!lost) return true;
    this.log.warn('target_lost', {target: slot.target});
    const {fingerprint} = this.request;
    return this.parts.losses.report({fingerprint, target: slot.target});
  }

  private mayRunAgain(): boolean {
    if (!this.tracker.state.idempotent) return false;
    return this.attempts < MAX_ATTEMPTS && this.parts.budget.tryTake();
  }

  /** Queues a request again of which no byte has left. */
  private again(reason: 'unreachable' | 'lapsed'): {
    done: boolean;
    refusal?: Refusal;
  } {
    const claimLapsed =
      this.claim !== undefined &&
      this.parts.clock.monotonicMs() > this.claim.expiresAtMs;
    const limited = reason === 'unreachable';
    const allowed =
      !limited || (this.attempts < MAX_ATTEMPTS && this.parts.budget.tryTake());
    if (claimLapsed || !allowed) {
      const message = 'no target could be reached';
      const {ran} = this.tracker;
      return {done: true, refusal: refusal('target_unreachable', message, ran)};
    }
    this.parts.metrics.retries.inc({reason});
    this.tracker.advance('grant_returned');
    return {done: false};
  }

  private giveBack(slot: GrantedSlot, end: SlotEnd, cost: number): void {
    this.cell?.finish(slot.grantId, {end, cost});
  }

  /** A key is free again when its request was surely never sent. */
  private releaseUnsent(): void {
    if (this.claim === undefined || this.tracker.ran !== 'not_run') return;
    this.parts.claims.release(this.claim.claimId);
  }

  private refuse(refused: Refusal): void {
    const {kind, ran} = refused;
    this.parts.metrics.refusals.inc({kind, ran});
    this.log.info('refused', {kind, ran, customer: this.request.customer.name});
    this.request.caller.refuse(refused);
  }

  private costOf(stream: EngineStream): number {
    const {customer, call, estimate, body} = this.request;
    if (call === undefined) return estimate;
    return modelCost(customer.template, {
      inputTokens: stream.inputTokens ?? Math.ceil(body.length / 4),
      outputTokens: stream.outputTokens,
    });
  }

  private get cell(): CellTask | undefined {
    return this.parts.cellOf(this.request.serviceName);
  }
}

function refused(refusal: Refusal | undefined) {
  return {type: 'refused' as const, refusal};
}
