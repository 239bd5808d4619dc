import {RETRY_SAFETY} from '@applebend/routing';
import {EXECUTION} from '../execution.js';
import {STATUS} from './responses.js';

import type {RequestCrashes} from '../crash/request_crashes.js';
import type {AttemptFailure} from '../errors.js';
import type {AttemptTracker} from './attempt_tracker.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/**
 * Decides whether a request may be sent to another target: by its route, its
 * attempts so far, its quarantine and the retry budget of the fleet.
 *
 * @internal
 */
export class RetryGate {
  private constructor(
    private readonly context: RequestContext,
    private readonly deps: ExchangeDeps,
    private readonly attempts: AttemptTracker,
    private readonly crashes: RequestCrashes
  ) {}

  static create(
    context: RequestContext,
    deps: ExchangeDeps,
    attempts: AttemptTracker,
    crashes: RequestCrashes
  ): RetryGate {
    return new RetryGate(context, deps, attempts, crashes);
  }

  /** Whether the request may run more than once. */
  get isIdempotent(): boolean {
    return this.context.route.retrySafety === RETRY_SAFETY.idempotent;
  }

  /** Whether a retry is allowed after a failure, which it is charged for. */
  tryAcquireAfter({kind, execution}: AttemptFailure): boolean {
    // A request that may have run is sent again only if it is idempotent.
    const isSafe = execution === EXECUTION.notRun || this.isIdempotent;
    return isSafe && this.tryAcquire(kind !== 'connect_failed');
  }

  /** Whether a retry is allowed after a response, which it is charged for. */
  tryAcquireAfterStatus(status: number): boolean {
    const isFailure = status >= STATUS.internalError;
    return isFailure && this.isIdempotent && this.tryAcquire(true);
  }

  /** Whether a retry is allowed; charges it to the budget if `costsBudget`. */
  tryAcquire(costsBudget: boolean): boolean {
    const {context, deps, attempts, crashes} = this;
    const nowMs = deps.clock.monotonicMs();
    if (!attempts.allowsRetry(context.deadlineAtMs - nowMs)) return false;
    if (crashes.quarantineLeftMs > 0) return false;
    if (!costsBudget) return true;
    const budget = deps.state.retryBudgetOf(context.service);
    return budget.tryAcquire(deps.state.instanceCount, nowMs);
  }
}
