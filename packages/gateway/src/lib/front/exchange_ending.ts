import {EXECUTION} from '../execution.js';
import {secondsUntilResumed} from './pause_advice.js';
import {STATUS, sendResponse} from './responses.js';
import {isTakenUp} from './stream_version.js';

import type {AdmissionInput, Candidate} from '@applebend/routing';
import type {RequestCrashes} from '../crash/request_crashes.js';
import type {AttemptFailure} from '../errors.js';
import type {Execution} from '../execution.js';
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

/** What a response to a request that no target served holds besides its kind. */
interface UnservedOptions {
  /** For a request that was not run. */
  readonly retryAfterS?: number;
  /** For one that may have run. */
  readonly statusIfUnknown?: number;
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
  private targetStatus: number | undefined;

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

  noteHead(status: number, headMs: number): void {
    this.targetStatus = status;
    this.headMs = headMs;
  }

  noteRefusal(input: AdmissionInput): void {
    this.refusedFor = input;
  }

  /** Refuses a request that was not sent to any target. */
  refuse(kind: string, retryAfterS: number): void {
    this.respondUnserved(kind, EXECUTION.notRun, {retryAfterS});
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
    const {unknown} = EXECUTION;
    const execution = this.attempts.mayHaveRun ? unknown : failure.execution;
    this.respondUnserved(failure.kind, execution, {retryAfterS: resumedInS});
  }

  /** Responds that no response came before the deadline. */
  timeOut(execution: Execution): void {
    const statusIfUnknown = STATUS.gatewayTimeout;
    this.respondUnserved('timeout', execution, {statusIfUnknown});
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
      targetStatus: this.targetStatus,
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

  /** Only a request that was not run is worth a retry, whatever its route. */
  private respondUnserved(
    kind: string,
    execution: Execution,
    {
      retryAfterS = RETRY_AFTER_S,
      statusIfUnknown = STATUS.badGateway,
    }: UnservedOptions
  ): void {
    if (execution === EXECUTION.unknown) {
      this.respond({kind, execution, status: statusIfUnknown});
      return;
    }
    const status = STATUS.unavailable;
    this.respond({kind, execution, status, retryAfterS});
  }

  private respond(response: GatewayResponse): void {
    if (this.ended) return;
    const {closesConnections} = this.deps.state;
    sendResponse(this.inbound.res, response, closesConnections);
    this.end(response.kind, response.status);
  }
}
