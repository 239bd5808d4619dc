import {EXECUTION} from '../errors.js';
import {secondsUntilResumed} from './pause_advice.js';
import {STATUS, sendResponse} from './responses.js';
import {isTakenUp} from './stream_version.js';

import type {AdmissionInput, Candidate} from '@applebend/routing';
import type {RequestCrashes} from '../crash/request_crashes.js';
import type {AttemptFailure} from '../errors.js';
import type {AttemptTracker} from './attempt_tracker.js';
import type {ExchangeDeps, InboundRequest} from './exchange_deps.js';
import type {SendBasis} from '../state/recent_sends.js';
import type {TargetRecord} from '../state/target_record.js';
import type {PlacementEstimates, SendReport} from './exchange_report.js';
import type {RequestContext} from './request_context.js';
import type {GatewayResponse} from './responses.js';

interface LastSend {
  readonly record: TargetRecord;
  readonly basis: SendBasis;
  readonly sentAtMs: number;
}

/** When callers may retry a request that certainly did not run. */
export const RETRY_AFTER_S = 0.3;

/**
 * The end of one exchange: what is said to the caller where no target's response
 * is forwarded, and the report, whose parts are noted as they become known.
 *
 * @public
 */
export class ExchangeEnding {
  private ended = false;
  private target: string | undefined;
  private lastSend: LastSend | undefined;
  private placed: PlacementEstimates | undefined;
  private refusedFor: AdmissionInput | undefined;
  private headMs: number | undefined;

  private constructor(
    private readonly context: RequestContext,
    private readonly inbound: InboundRequest,
    private readonly deps: ExchangeDeps,
    private readonly attempts: AttemptTracker,
    private readonly crashes: RequestCrashes,
    private readonly onEnded: () => void
  ) {}

  /** @param onEnded - called once, before the exchange is reported */
  static create(
    context: RequestContext,
    inbound: InboundRequest,
    deps: ExchangeDeps,
    attempts: AttemptTracker,
    crashes: RequestCrashes,
    onEnded: () => void
  ): ExchangeEnding {
    return new ExchangeEnding(
      context,
      inbound,
      deps,
      attempts,
      crashes,
      onEnded
    );
  }

  get hasEnded(): boolean {
    return this.ended;
  }

  /** Records by what the request is sent to a target. */
  noteSend(record: TargetRecord): void {
    const {context, deps} = this;
    const sentAtMs = deps.clock.monotonicMs();
    const basis = deps.state.sendBasis(record.target);
    record.recentSends.add(context.caller.attemptId, basis, sentAtMs);
    this.lastSend = {record, basis, sentAtMs};
  }

  notePlacement(candidate: Candidate): void {
    const {id, load, waitMs, prefillMs, uncachedTokens} = candidate;
    const {running, kvTokens} = load;
    this.target = id;
    this.placed = {waitMs, prefillMs, running, uncachedTokens, kvTokens};
  }

  noteHead(headMs: number): void {
    this.headMs = headMs;
  }

  noteRefusal(input: AdmissionInput): void {
    this.refusedFor = input;
  }

  /** Refuses a request that was not sent to any target. */
  refuse(kind: string, retryAfterS: number): void {
    this.respond({
      status: STATUS.unavailable,
      kind,
      execution: EXECUTION.notRun,
      retryAfterS,
    });
  }

  /** Refuses at once, also if all targets of the service are paused. */
  refuseWithoutTarget(): void {
    const resumedInS = this.secondsUntilResumed();
    if (resumedInS === undefined) this.refuse('no_target', RETRY_AFTER_S);
    else this.refuse('targets_paused', resumedInS);
  }

  /** Responds 503 if the request certainly did not run, otherwise 502. */
  giveUp(failure: AttemptFailure): void {
    const isPaused = failure.kind === 'target_paused';
    const resumedInS = isPaused ? this.secondsUntilResumed() : undefined;
    const retryAfterS = resumedInS ?? RETRY_AFTER_S;
    const isNotRun =
      failure.execution === EXECUTION.notRun && !this.attempts.mayHaveRun;
    this.respond({
      status: isNotRun ? STATUS.unavailable : STATUS.badGateway,
      kind: failure.kind,
      execution: isNotRun ? EXECUTION.notRun : EXECUTION.unknown,
      retryAfterS: isNotRun ? retryAfterS : undefined,
    });
  }

  /**
   * Responds that no response came before the deadline.
   *
   * @param isSent - whether some target may have received the request
   */
  timeOut(isSent: boolean): void {
    this.respond({
      status: isSent ? STATUS.gatewayTimeout : STATUS.unavailable,
      kind: 'timeout',
      execution: isSent ? EXECUTION.unknown : EXECUTION.notRun,
      retryAfterS: isSent ? undefined : RETRY_AFTER_S,
    });
  }

  /** Ends the exchange where no response can be written. */
  breakOff(): void {
    this.inbound.res.destroy();
    this.end('internal_fault', 0);
  }

  /** Reports the exchange; called once the caller has its response, or left. */
  end(outcome: string, status: number): void {
    if (this.ended) return;
    this.ended = true;
    this.onEnded();
    const {context, attempts, deps, crashes} = this;
    const nowMs = deps.clock.monotonicMs();
    deps.onEnd({
      attemptId: context.caller.attemptId,
      route: context.route.name,
      service: context.service,
      customer: context.customer,
      isTakenUp: isTakenUp(context),
      fingerprint: crashes.knownFingerprint,
      quarantinedBlock: crashes.quarantinedBlock,
      outcome,
      status,
      sends: attempts.sends,
      target: this.target,
      sent: this.sendReport(nowMs),
      failure: attempts.lastFailure,
      placed: this.placed,
      refusedFor: this.refusedFor,
      headMs: this.headMs,
      elapsedMs: nowMs - context.arrivedAtMs,
      configVersion: context.config.version,
    });
  }

  private sendReport(nowMs: number): SendReport | undefined {
    const {lastSend, deps} = this;
    if (lastSend === undefined) return undefined;
    const {record, basis, sentAtMs} = lastSend;
    const hasDeparted = deps.state.targets.hasDeparted(record);
    return {...basis, agoMs: nowMs - sentAtMs, hasDeparted};
  }

  private secondsUntilResumed(): number | undefined {
    const {context, deps} = this;
    const nowMs = deps.clock.monotonicMs();
    return secondsUntilResumed(context.service, deps, nowMs);
  }

  private respond(response: GatewayResponse): void {
    if (this.ended) return;
    const {closesConnections} = this.deps.state;
    sendResponse(this.inbound.res, response, closesConnections);
    this.end(response.kind, response.status);
  }
}
