import type {FleetConfig, Prompt, Route} from '@applebend/routing';
import type {CallerRequest} from '../ports.js';

/** A request that has passed its checks. @public */
export interface RequestContext {
  readonly config: FleetConfig;
  readonly route: Route;
  /** The service that was picked from those of the route. */
  readonly service: string;
  /** The customer that the API key belongs to; undefined on public routes. */
  readonly customer: string | undefined;
  readonly caller: CallerRequest;
  readonly prompt: Prompt | undefined;
  /** Monotonic milliseconds at which the request arrived. */
  readonly arrivedAtMs: number;
  /** Monotonic milliseconds at which it times out. */
  readonly deadlineAtMs: number;
}
