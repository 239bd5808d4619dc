import {Counter, Gauge, Histogram, Registry} from 'prom-client';

import type {TargetCheck} from '../crash/target_check.js';
import type {AttemptFailure} from '../errors.js';
import type {BodyError} from '../front/body_reader.js';
import type {ExchangeReport} from '../front/exchange_report.js';

const SECONDS_BUCKETS = [0.01, 0.03, 0.1, 0.25, 0.5, 0.89, 1.5, 3, 6, 15, 60];

/** Values read at each scrape; their names are the label `figure`. @public */
export interface GaugeValues {
  /** Age of the last confirmation of the configuration. */
  readonly configAgeMs: number;
  /** Age of the last read, here or by a peer, of the list of targets. */
  readonly targetListAgeMs: number;
  readonly configVersion: number;
  /** Rises when the store was restored from a copy. */
  readonly storeEra: number;
  /** Instances that accept requests, including this one. */
  readonly instances: number;
  /** Registered targets. */
  readonly targets: number;
  /** Targets that take few requests because they are cold. */
  readonly coldTargets: number;
  /** Failure domains whose targets get no new requests. */
  readonly evacuatedDomains: number;
  /** Requests whose response is not complete. */
  readonly active: number;
  /** Those of them that wait for the answer to another on their connection. */
  readonly waitingRequests: number;
  /** Connections of callers that were accepted since the start. */
  readonly acceptedConnections: number;
  /** Open connections of callers. */
  readonly callerConnections: number;
  /** Bytes that the bodies of requests hold. */
  readonly heldBodyBytes: number;
  readonly heldBodyLimitBytes: number;
  /** Bytes of responses that are not complete or not sent, and their limit. */
  readonly heldResponseBytes: number;
  readonly heldResponseLimitBytes: number;
  /** Resident memory of the process. */
  readonly residentBytes: number;
  /** The resident memory above which the platform ends the process. */
  readonly residentLimitBytes: number;
  /** How long a caller's new connection waits until it is served. */
  readonly listenerDelayMs: number;
  /** Smoothed lag of the event loop. */
  readonly loopLagMs: number;
  /** Fraction of the time that the event loop is busy, 0 to 1. */
  readonly loopBusyPart: number;
}

/** The Prometheus metrics of one instance. @public */
export class GatewayMetrics {
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'applebend_gateway_requests_total',
    help: 'Requests that ended, by outcome and status',
    labelNames: ['service', 'outcome', 'status'],
    registers: [this.registry],
  });
  private readonly sends = new Counter({
    name: 'applebend_gateway_sends_total',
    help: 'Requests sent to targets, repeats included',
    labelNames: ['service'],
    registers: [this.registry],
  });
  private readonly overloaded = new Counter({
    name: 'applebend_gateway_overloaded_total',
    help: 'Requests refused unread, since the event loop was behind',
    registers: [this.registry],
  });
  private readonly bodiesRefused = new Counter({
    name: 'applebend_gateway_bodies_refused_total',
    help: 'Requests refused before their body was read to its end, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly disconnected = new Counter({
    name: 'applebend_gateway_left_unread_total',
    help: 'Requests whose caller had gone before they were placed',
    registers: [this.registry],
  });
  private readonly pipeliningClosed = new Counter({
    name: 'applebend_gateway_pipelining_closed_total',
    help: 'Connections closed because too many requests waited on them',
    registers: [this.registry],
  });
  private readonly targetNotices = new Counter({
    name: 'applebend_gateway_target_notices_total',
    help: 'What targets said of themselves: that they leave, or want a pause',
    labelNames: ['notice'],
    registers: [this.registry],
  });
  private readonly targetLosses = new Counter({
    name: 'applebend_gateway_target_losses_total',
    help: 'Targets that were lost while they ran requests of this instance',
    registers: [this.registry],
  });
  private readonly faults = new Counter({
    name: 'applebend_gateway_faults_total',
    help: 'Requests that ended by an exception in this instance',
    registers: [this.registry],
  });
  private readonly targetChecks = new Counter({
    name: 'applebend_gateway_target_checks_total',
    help: 'Checks of targets whose connections broke, by what they found',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly invalidResponses = new Counter({
    name: 'applebend_gateway_invalid_responses_total',
    help: 'Responses of targets that could not be used, by kind of failure',
    labelNames: ['service', 'kind'],
    registers: [this.registry],
  });
  private readonly journalAppends = new Counter({
    name: 'applebend_gateway_journal_appends_total',
    help: 'Records that this instance appended to the version journal, or could not',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly callerResumes = new Counter({
    name: 'applebend_gateway_caller_resumes_total',
    help: 'Requests that resume a broken stream, by outcome',
    labelNames: ['service', 'outcome'],
    registers: [this.registry],
  });
  private readonly requestSeconds = new Histogram({
    name: 'applebend_gateway_request_seconds',
    help: 'Time from arrival to the end of the answer',
    labelNames: ['service'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly headSeconds = new Histogram({
    name: 'applebend_gateway_head_seconds',
    help: 'Time from the send to the head of the answer',
    labelNames: ['service'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly gauges = new Gauge({
    name: 'applebend_gateway_state',
    help: 'Age of the configuration, its version, instances, targets, work',
    labelNames: ['figure'],
    registers: [this.registry],
  });

  private constructor() {}

  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }

  onEnd(report: ExchangeReport): void {
    const {service, outcome, status, sends, elapsedMs, headMs} = report;
    if (report.isTakenUp) this.callerResumes.inc({service, outcome});
    this.requests.inc({service, outcome, status: String(status)});
    if (sends > 0) this.sends.inc({service}, sends);
    this.requestSeconds.observe({service}, elapsedMs / 1000);
    if (headMs !== undefined) {
      this.headSeconds.observe({service}, headMs / 1000);
    }
  }

  onJournalAppended(isSaved: boolean): void {
    this.journalAppends.inc({result: isSaved ? 'saved' : 'failed'});
  }

  onTargetLeaving(): void {
    this.targetNotices.inc({notice: 'leaving'});
  }

  onTargetPaused(): void {
    this.targetNotices.inc({notice: 'paused'});
  }

  onTargetLost(): void {
    this.targetLosses.inc();
  }

  onFault(): void {
    this.faults.inc();
  }

  onTargetChecked(result: TargetCheck): void {
    this.targetChecks.inc({result});
  }

  onInvalidResponse(service: string, kind: AttemptFailure['kind']): void {
    this.invalidResponses.inc({service, kind});
  }

  onOverloaded(): void {
    this.overloaded.inc();
  }

  onBodyRefused(reason: BodyError['kind']): void {
    this.bodiesRefused.inc({reason});
  }

  onCallerDisconnected(): void {
    this.disconnected.inc();
  }

  onPipeliningClosed(): void {
    this.pipeliningClosed.inc();
  }

  /** All metrics in the Prometheus text format. */
  async text(values: GaugeValues): Promise<string> {
    for (const [figure, value] of Object.entries(values)) {
      this.gauges.set({figure}, Number(value));
    }
    return this.registry.metrics();
  }
}
