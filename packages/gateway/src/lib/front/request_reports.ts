import {BodyRefusalLog} from './body_refusal_log.js';
import {RateLimitedLog} from './rate_limited_log.js';
import {RequestLog} from './request_log.js';

import type {BodyMemory, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {AttemptFailure} from '../errors.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {BodyError} from './body_reader.js';
import type {ExchangeReport} from './exchange_report.js';

/** @internal */
export interface RequestReportsOptions {
  readonly log: Logger;
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly bodyMemory: BodyMemory;
}

/** Logs and counts what becomes of callers' requests. @internal */
export class RequestReports {
  private readonly requestLog: RequestLog;
  private readonly bodyRefusals: BodyRefusalLog;
  private readonly pipeliningLog: RateLimitedLog;
  private readonly invalidResponses: RateLimitedLog;

  private constructor(private readonly options: RequestReportsOptions) {
    const {log, clock} = options;
    this.requestLog = RequestLog.create(log, clock);
    this.bodyRefusals = BodyRefusalLog.create(log, clock);
    const event = 'connections closed: too many pipelined requests';
    this.pipeliningLog = RateLimitedLog.create(log, clock, event);
    const invalid = 'invalid responses from targets';
    this.invalidResponses = RateLimitedLog.create(log, clock, invalid);
  }

  static create(options: RequestReportsOptions): RequestReports {
    return new RequestReports(options);
  }

  onEnd(report: ExchangeReport): void {
    this.requestLog.onEnd(report);
    this.options.metrics.onEnd(report);
  }

  onFault(err: unknown, attemptId: string): void {
    const {message, stack} =
      err instanceof Error ? err : new TypeError(String(err));
    const {log, metrics} = this.options;
    log.error('request fault', {attemptId, message, stack});
    metrics.onFault();
  }

  onBodyRefused(kind: BodyError['kind'], customer: string): void {
    const {metrics, bodyMemory} = this.options;
    metrics.onBodyRefused(kind);
    if (kind === 'body_memory') {
      this.bodyRefusals.onRefused(customer, bodyMemory);
    }
  }

  onPipeliningClosed(): void {
    this.pipeliningLog.onEvent();
    this.options.metrics.onPipeliningClosed();
  }

  onInvalidResponse(target: Target, {kind, message}: AttemptFailure): void {
    const {id, service} = target;
    this.invalidResponses.onEvent({target: id, kind, message});
    this.options.metrics.onInvalidResponse(service, kind);
  }

  /** Logs the events that were counted and have no line yet. */
  flush(): void {
    this.pipeliningLog.flush();
    this.invalidResponses.flush();
  }
}
