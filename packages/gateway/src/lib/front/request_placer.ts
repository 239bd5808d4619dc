import {decideRequest, findPlacement} from './placement.js';

import type {Placement, RequestDecision, Target} from '@applebend/routing';
import type {AttemptTracker} from './attempt_tracker.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {PlacementInput} from './placement.js';
import type {RequestContext} from './request_context.js';
import type {VersionPin} from './version_pin.js';

/** Chooses the targets of one request's attempts, one after the other. @internal */
export class RequestPlacer {
  private constructor(
    private readonly context: RequestContext,
    private readonly deps: ExchangeDeps,
    private readonly attempts: AttemptTracker,
    private readonly versionPin: VersionPin
  ) {}

  static create(
    context: RequestContext,
    deps: ExchangeDeps,
    attempts: AttemptTracker,
    versionPin: VersionPin
  ): RequestPlacer {
    return new RequestPlacer(context, deps, attempts, versionPin);
  }

  /**
   * Places the request for its first attempt and decides whether to admit it.
   * Returns undefined if there is no target.
   */
  decide(): RequestDecision | undefined {
    return decideRequest(this.input);
  }

  /**
   * The target for another attempt, if there is one.
   *
   * @param previous - the target of the last attempt
   */
  placeAgain(previous: Target | undefined): Placement | undefined {
    const {versionPin, deps} = this;
    versionPin.onRetry(previous, deps.clock.monotonicMs());
    return findPlacement(this.input);
  }

  private get input(): PlacementInput {
    const {context, deps, attempts, versionPin} = this;
    const {state, random, clock} = deps;
    const nowMs = clock.monotonicMs();
    return {context, state, versionPin, attempts, nowMs, random};
  }
}
