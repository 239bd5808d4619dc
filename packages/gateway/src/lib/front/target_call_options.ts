import {failoverTimeoutMs} from '@applebend/routing';

import type {Route, Target} from '@applebend/routing';
import type {Contain} from '@applebend/utils';
import type {TargetCallOptions} from '../upstream/target_call.js';
import type {InboundRequest, ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** What differs between the attempts of a request. @public */
export interface AttemptOptions {
  readonly target: Target;
  /** Time until the deadline. */
  readonly leftMs: number;
  /** Id of the last forwarded event, if the attempt resumes a stream. */
  readonly resumeAfter: string | undefined;
  /** Whether the target may still get the request once it is connected. */
  readonly maySend: () => boolean;
  /** Predicted time to the first event. */
  readonly predictedMs: number;
  /** Whether another target may run it, so that silence can end this attempt. */
  readonly canFailOver: boolean;
  /** Wraps the handlers of events. */
  readonly contain: Contain;
}

/** Returns the options of one attempt at a caller's request. @public */
export function targetCallOptions(
  {caller, customer, route}: RequestContext,
  {req, body}: InboundRequest,
  {agent, codec}: ExchangeDeps,
  attempt: AttemptOptions
): TargetCallOptions {
  const {target, leftMs, resumeAfter} = attempt;
  const method = req.method ?? 'GET';
  const headers = codec.encodeTargetRequest({
    method,
    callerHeaders: req.rawHeaders,
    deadlineMs: Math.max(1, Math.floor(leftMs)),
    targetId: target.id,
    customer,
    lastEventId: resumeAfter ?? caller.lastEventId,
    bodyBytes: body?.length ?? 0,
  });
  return {
    target,
    method,
    url: req.url ?? '/',
    headers,
    body,
    attemptId: caller.attemptId,
    agent,
    codec,
    maySend: attempt.maySend,
    silenceMs: silenceMs(route, attempt),
    contain: attempt.contain,
  };
}

/** Silence matters only if another target may take over. */
function silenceMs(
  {latencyTargetMs}: Route,
  {predictedMs, canFailOver}: AttemptOptions
): number | undefined {
  if (!canFailOver) return undefined;
  return failoverTimeoutMs(latencyTargetMs, predictedMs);
}
