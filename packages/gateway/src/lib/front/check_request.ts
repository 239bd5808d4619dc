/** The checks before a request is placed: route, key, freshness. */
import {sessionOf} from '@applebend/routing';
import {hash32, fail, ok} from '@applebend/utils';
import {EXECUTION} from '../errors.js';
import {STATUS} from './responses.js';

import type {Route} from '@applebend/routing';
import type {Result} from '@applebend/utils';
import type {CallerRequest} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {GatewayResponse} from './responses.js';
import type {RequestContext} from './request_context.js';

/** The head of a caller's request. @public */
export interface RequestHead {
  readonly host: string;
  readonly url: string;
  readonly caller: CallerRequest;
  readonly arrivedAtMs: number;
}

const RETRY_SOON_S = 0.4;
const HASH_RANGE = 0x100000000;

/** The context of a request that may be placed, or the answer it gets. @public */
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

function refuse(kind: string): Result<never, GatewayResponse> {
  return fail({
    status: STATUS.unavailable,
    kind,
    execution: EXECUTION.notRun,
    retryAfterS: RETRY_SOON_S,
  });
}

/** A denial is final, so it needs a configuration that is surely the newest. */
function deny(
  state: FleetState,
  status: number,
  kind: string
): Result<never, GatewayResponse> {
  if (!state.canDeny) return refuse('stale_configuration');
  return fail({status, kind, execution: EXECUTION.notRun});
}

/** Requests that share a prompt go to the same service of a split route. */
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
