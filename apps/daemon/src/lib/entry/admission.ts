import {
  classifyRequest,
  estimateInputTokens,
  modelCallCost,
  resolveCustomer,
  SERVICE_KIND,
} from '@applebend/core';
import {CHAT_COMPLETIONS_PATH, parseChatCall} from '@applebend/externals';
import {
  fail,
  hash32,
  ok,
  requestFingerprint,
  sha256Hex,
} from '@applebend/utils';
import {notRun} from './refusals.js';

import type {
  FleetConfig,
  OutputEstimator,
  Refusal,
  RequestClassConfig,
  ResolvedCustomer,
  ServiceConfig,
} from '@applebend/core';
import type {ChatCall} from '@applebend/externals';
import type {Result} from '@applebend/utils';
import type {Caller} from './caller.js';

/** A request that passed admission. @public */
export interface AdmittedRequest {
  readonly caller: Caller;
  readonly customer: ResolvedCustomer;
  readonly serviceName: string;
  readonly service: ServiceConfig;
  readonly cls: RequestClassConfig;
  /** The model call, or undefined for plain services. */
  readonly call: ChatCall | undefined;
  /** Path and query of the request to the target. */
  readonly targetPath: string;
  readonly body: Buffer;
  /** Hash that equal requests of a customer share. */
  readonly fingerprint: string;
  /** Equal for model calls that share a prompt prefix. */
  readonly affinity: number;
  /** Estimated cost in weighted tokens. */
  readonly estimate: number;
  /** Time allowed from admission to the start of the response. */
  readonly deadlineMs: number;
  /** Set if the request must run at most once. */
  readonly idempotencyKey: string | undefined;
}

/** @public */
export interface AdmissionOptions {
  readonly config: () => FleetConfig;
  /** Returns the customer of an API key, given the key's SHA-256 in hex. */
  readonly customerOf: (keyHash: string) => string | undefined;
  readonly estimator: OutputEstimator;
  readonly maxBodyBytes: number;
}

interface RoutedRequest {
  readonly serviceName: string;
  readonly service: ServiceConfig;
  readonly targetPath: string;
  readonly call: ChatCall | undefined;
}

const BEARER_PREFIX = 'Bearer ';
const MAX_KEY_LENGTH = 256;
const MAX_DEADLINE_MS = 3_600_000;
/** 16 bits suffice to distinguish the prompt prefixes of one cell. */
const AFFINITY_MASK = 0xffff;

/**
 * Authenticates, reads and classifies a request; returns a refusal if a check
 * fails. Nothing has been sent to a target yet.
 *
 * @public
 */
export async function admit(
  caller: Caller,
  options: AdmissionOptions
): Promise<Result<AdmittedRequest, Refusal>> {
  const customer = authenticate(caller, options);
  if (!customer.ok) return customer;
  const body = await readBody(caller, options.maxBodyBytes);
  if (!body.ok) return body;
  const routed = route(caller, body.value, options.config());
  if (!routed.ok) return routed;
  const cls = classify(caller, customer.value, routed.value);
  if (!cls.ok) return cls;
  const key = idempotencyKey(caller, cls.value);
  if (!key.ok) return key;
  const deadline = deadlineOf(caller, cls.value);
  if (!deadline.ok) return deadline;
  const fingerprint = requestFingerprint([
    customer.value.name,
    caller.req.method ?? '',
    routed.value.serviceName,
    routed.value.targetPath,
    body.value.toString('latin1'),
  ]);
  return ok({
    caller,
    customer: customer.value,
    ...routed.value,
    cls: cls.value,
    body: body.value,
    fingerprint,
    affinity:
      hash32(routed.value.call?.promptPrefix ?? fingerprint) & AFFINITY_MASK,
    estimate: estimateCost(
      customer.value,
      cls.value,
      routed.value,
      body.value,
      options
    ),
    deadlineMs: deadline.value,
    idempotencyKey: key.value,
  });
}

function authenticate(
  caller: Caller,
  options: AdmissionOptions
): Result<ResolvedCustomer, Refusal> {
  const header = caller.req.headers.authorization ?? '';
  const key = header.startsWith(BEARER_PREFIX)
    ? header.slice(BEARER_PREFIX.length)
    : '';
  const name = key === '' ? undefined : options.customerOf(sha256Hex(key));
  const customer =
    name === undefined ? undefined : resolveCustomer(options.config(), name);
  if (customer !== undefined) return ok(customer);
  return fail(notRun('unauthorized', 'the API key is missing or unknown'));
}

async function readBody(
  caller: Caller,
  maxBytes: number
): Promise<Result<Buffer, Refusal>> {
  const declared = Number(caller.req.headers['content-length'] ?? 0);
  const message = `the body is larger than ${maxBytes} bytes`;
  if (declared > maxBytes) return fail(notRun('request_too_large', message));
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of caller.req) {
      size += (chunk as Buffer).length;
      if (size > maxBytes) return fail(notRun('request_too_large', message));
      chunks.push(chunk as Buffer);
    }
  } catch {
    return fail(notRun('bad_request', 'the body broke off'));
  }
  return ok(Buffer.concat(chunks));
}

function route(
  caller: Caller,
  body: Buffer,
  config: FleetConfig
): Result<RoutedRequest, Refusal> {
  const url = caller.req.url ?? '/';
  const path = url.split('?', 1)[0] ?? '/';
  if (path === CHAT_COMPLETIONS_PATH)
    return routeModelCall(caller, body, config);
  const [, serviceName = ''] = path.split('/');
  const service = config.services[serviceName];
  if (service?.kind !== SERVICE_KIND.plain) {
    return fail(notRun('unknown_service', `no service at ${path}`));
  }
  const rest = url.slice(serviceName.length + 1);
  const targetPath = rest.startsWith('/') ? rest : `/${rest}`;
  return ok({serviceName, service, targetPath, call: undefined});
}

function routeModelCall(
  caller: Caller,
  body: Buffer,
  config: FleetConfig
): Result<RoutedRequest, Refusal> {
  if (caller.req.method !== 'POST') {
    return fail(notRun('bad_request', 'model calls are sent with POST'));
  }
  const parsed = parseChatCall(body);
  if (!parsed.ok) return fail(notRun('bad_request', parsed.reason));
  const {call} = parsed;
  const service = config.services[call.model];
  if (service?.kind !== SERVICE_KIND.model) {
    return fail(notRun('unknown_service', `no model "${call.model}"`));
  }
  return ok({
    serviceName: call.model,
    service,
    targetPath: CHAT_COMPLETIONS_PATH,
    call,
  });
}

function classify(
  caller: Caller,
  customer: ResolvedCustomer,
  routed: RoutedRequest
): Result<RequestClassConfig, Refusal> {
  const requestClass = caller.req.headers['x-request-class'];
  const cls = classifyRequest(customer.template, {
    service: routed.serviceName,
    method: caller.req.method ?? '',
    path: routed.targetPath,
    requestClass: typeof requestClass === 'string' ? requestClass : undefined,
  });
  if (cls === undefined) {
    return fail(notRun('no_matching_class', 'no request class matches'));
  }
  const {call} = routed;
  if (call !== undefined && call.maxTokens > cls.maxOutputTokens) {
    const message = `max_tokens is above ${cls.maxOutputTokens}`;
    return fail(notRun('bad_request', message));
  }
  return ok(cls);
}

function idempotencyKey(
  caller: Caller,
  cls: RequestClassConfig
): Result<string | undefined, Refusal> {
  if (cls.idempotent) return ok(undefined);
  const key = caller.req.headers[cls.idempotencyKeyHeader];
  if (typeof key === 'string' && key !== '' && key.length <= MAX_KEY_LENGTH) {
    return ok(key);
  }
  const message = `${cls.idempotencyKeyHeader} is missing or too long`;
  return fail(notRun('idempotency_key_required', message));
}

function deadlineOf(
  caller: Caller,
  cls: RequestClassConfig
): Result<number, Refusal> {
  const header = caller.req.headers['x-deadline-ms'];
  if (header === undefined) return ok(cls.deadlineMs);
  const deadlineMs = Number(header);
  if (deadlineMs > 0 && deadlineMs <= MAX_DEADLINE_MS) return ok(deadlineMs);
  return fail(notRun('bad_request', 'x-deadline-ms is no time in range'));
}

function estimateCost(
  customer: ResolvedCustomer,
  cls: RequestClassConfig,
  routed: RoutedRequest,
  body: Buffer,
  options: AdmissionOptions
): number {
  const {template, name} = customer;
  if (routed.call === undefined) return template.callCost;
  const {maxTokens} = routed.call;
  return modelCallCost(template, {
    inputTokens: estimateInputTokens(body.length),
    outputTokens: options.estimator.estimate(name, cls, maxTokens),
  });
}
