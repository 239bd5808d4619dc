import {
  advanceRequest,
  runStatusOf,
  initialRequestState,
} from '@applebend/core';

import type {RunStatus, RequestEvent, RequestState} from '@applebend/core';
import type {Logger, Metrics} from '@applebend/telemetry';

/** Holds the state of one request and rejects invalid events. @public */
export class RequestTracker {
  private current: RequestState;

  private constructor(
    idempotent: boolean,
    private readonly log: Logger,
    private readonly metrics: Metrics
  ) {
    this.current = initialRequestState(idempotent);
  }

  static create(
    idempotent: boolean,
    log: Logger,
    metrics: Metrics
  ): RequestTracker {
    return new RequestTracker(idempotent, log, metrics);
  }

  get state(): RequestState {
    return this.current;
  }

  /** What is known about whether the request ran. */
  get ran(): RunStatus {
    return runStatusOf(this.current);
  }

  /** Applies an event; returns false if the current phase rules it out. */
  advance(type: RequestEvent['type']): boolean {
    const next = advanceRequest(this.current, {type});
    if (next.ok) {
      this.current = next.value;
      return true;
    }
    this.metrics.invalidTransitions.inc();
    this.log.error('invalid_transition', {reason: next.err.message});
    return false;
  }
}
