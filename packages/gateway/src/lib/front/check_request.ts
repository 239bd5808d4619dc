import {sessionOf} from '@applebend/routing';
import {hash32, fail, ok} from '@applebend/utils';
import {EXECUTION} from '../execution.js';
import {STATUS} from './responses.js';

import type {Route} from '@applebend/routing';
import type {Result} from '@applebend/utils';
import type {CallerRequest} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {GatewayResponse} from './responses.js';
import type {RequestContext} from './request_context.js';

/** What a request is checked by, before its body is read. @public */
export interface RequestHead {
  readonly host: string;
  readonly url: string;
  readonly caller: CallerRequest;
  /** Monotonic milliseconds. */
  readonly arrivedAtMs: number;
}

/** When callers may retry while this instance lacks a recent configuration. */
const RETRY_AFTER_S = 0.4;
const HASH_RANGE = 0x100000000;

/**
 * Checks the route and the API key of a request. Returns its context, or the
 * response if it is refused.
 *
 * @public
 */
export function checkRequest(
  head: RequestHead,
  state: FleetState
): Result<RequestContext, GatewayResponse> {
  const {config} = state;
  if (config === undefined || !state.isLoaded) return refuse('not_ready');
  const {host, url, caller, arrivedAtMs} = head;
  const route = config.routes.find(host, url);
  if (route === undefined) return deny(state, STATUS.notFound, 'no_route');
  let customer: string | undefined;
  if (config.hasCustomers && !route.isPublic) {
    if (!state.canAcceptKeys) return refuse('stale_configuration');
    customer = config.customersByKey.get(caller.apiKey ?? '');
    if (customer === undefined) {
      return deny(state, STATUS.unauthorized, 'unknown_key');
    }
  }
  const {deadlineMs = Infinity, prompt} = caller;
  return ok({
    config,
    route,
    service: pickService(route, caller),
    customer,
    caller,
    prompt,
    arrivedAtMs,
    deadlineAtMs: arrivedAtMs + Math.min(deadlineMs, route.timeoutMs),
  });
}

/** Refuses a request for now; a retry may succeed. */
function refuse(kind: string): Result<never, GatewayResponse> {
  return fail({
    status: STATUS.unavailable,
    kind,
    execution: EXECUTION.notRun,
    retryAfterS: RETRY_AFTER_S,
  });
}

/**
 * Denies a request for good. This is final, so it needs a configuration that is
 * surely the newest; without one the request is refused for now.
 */
function deny(
  state: FleetState,
  status: number,
  kind: string
): Result<never, GatewayResponse> {
  if (!state.canDeny) return refuse('stale_configuration');
  return fail({status, kind, execution: EXECUTION.notRun});
}

/**
 * Picks a service of the route by weight. Requests of one session get the same
 * service, since its engines have the session's prefix blocks cached.
 */
function pickService(route: Route, caller: CallerRequest): string {
  const {services} = route;
  if (services.length === 1) return services[0].service;
  const session = caller.prompt && sessionOf(caller.prompt);
  const key = session ?? caller.attemptId;
  const total = services.reduce((sum, {weight}) => sum + weight, 0);
  let point = (hash32(key) / HASH_RANGE) * total;
  for (const {service, weight} of services) {
    point -= weight;
    if (point < 0) return service;
  }
  return services[services.length - 1].service;
}
