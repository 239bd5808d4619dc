import {call, modelBody} from './caller_client.js';
import {Fleet} from './fleet.js';
import {keyOf, SAMPLE_CONFIG, SAMPLE_SERVICES} from './sample_config.js';

import type {CallerResponse} from './caller_client.js';
import type {FleetOptions} from './fleet.js';

/** A streamed model call of a customer. */
export interface SampleModelCall {
  readonly customer: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly tag: string;
}

/** A call of a plain service by a customer. */
export interface SamplePlainCall {
  readonly customer: string;
  /** The service, a slash and the path within the service. */
  readonly path: string;
  readonly method: string;
  readonly body: string;
  /** Idempotency key, if any: work with the same key must run only once. */
  readonly key?: string;
}

const TIMEOUT_MS = 30_000;
const LIST_LAG_MS = 300;
const ROUTERS = 3;

/** Starts a fleet, runs `work` on it, and stops all its processes. */
export async function runWithFleet(
  options: Partial<FleetOptions>,
  work: (fleet: Fleet) => Promise<void>
): Promise<void> {
  const fleet = await Fleet.create({
    routers: ROUTERS,
    policy: 'dispatched',
    config: SAMPLE_CONFIG,
    services: SAMPLE_SERVICES,
    listLagMs: LIST_LAG_MS,
    ...options,
  });
  try {
    await work(fleet);
  } finally {
    await fleet.stop();
  }
}

/** Returns the request body of a sample model call. */
export function sampleBody(sample: SampleModelCall): string {
  const {model, prompt, maxTokens, tag} = sample;
  return modelBody({model, prompt, maxTokens, tag, stream: true});
}

/** Sends a streamed model call through one router. */
export function callModel(
  fleet: Fleet,
  router: number,
  sample: SampleModelCall,
  timeoutMs = TIMEOUT_MS
): Promise<CallerResponse> {
  return call({
    url: `${fleet.router(router).url}/v1/chat/completions`,
    method: 'POST',
    headers: {authorization: `Bearer ${keyOf(sample.customer)}`},
    body: sampleBody(sample),
    timeoutMs: timeoutMs,
  });
}

/** Sends a call of a plain service through one router. */
export function callPlain(
  fleet: Fleet,
  router: number,
  sample: SamplePlainCall
): Promise<CallerResponse> {
  const {customer, path, method, body, key} = sample;
  const authorization = `Bearer ${keyOf(customer)}`;
  return call({
    url: `${fleet.router(router).url}/${path}`,
    method,
    headers:
      key === undefined
        ? {authorization}
        : {authorization, 'idempotency-key': key},
    body,
    timeoutMs: TIMEOUT_MS,
  });
}

/** Returns the body of a page on a router's admin port. */
export async function adminPage(
  fleet: Fleet,
  router: number,
  path: string
): Promise<string> {
  const response = await call({
    url: `${fleet.router(router).adminUrl}${path}`,
    method: 'GET',
    headers: {},
    body: '',
    timeoutMs: 2000,
  });
  return response.body;
}
