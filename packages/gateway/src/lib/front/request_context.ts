/** What is known of one request when it has passed the checks. */
import type {FleetConfig, Prompt, Route} from '@applebend/routing';
import type {CallerRequest} from '../ports.js';

/** @public */
export interface RequestContext {
  readonly config: FleetConfig;
  readonly route: Route;
  /** The service picked among those of the route. */
  readonly service: string;
  /** The customer whose key was checked; undefined on public routes. */
  readonly customer: string | undefined;
  readonly caller: CallerRequest;
  readonly prompt: Prompt | undefined;
  /** Monotonic milliseconds at which the request arrived. */
  readonly arrivedAtMs: number;
  /** Monotonic milliseconds at which its time is over. */
  readonly deadlineAtMs: number;
}
