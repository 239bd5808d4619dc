/** Makes the call to a target out of a caller's request. */
import {failoverTimeoutMs} from '@applebend/routing';

import type {Route, Target} from '@applebend/routing';
import type {TargetCallOptions} from '../upstream/target_call.js';
import type {InboundRequest, ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** What differs between the attempts of a request. Times in ms. @public */
export interface AttemptOptions {
  readonly target: Target;
  readonly leftMs: number;
  /** The last event that was passed on, where a stream goes on. */
  readonly resumeAfter: string | undefined;
  /** Until the first event, as predicted. */
  readonly predictedMs: number;
  /** Whether another target may run it, so that silence ends this attempt. */
  readonly canFailOver: boolean;
}

/** The target's own answer at the deadline is waited for this long. @public */
export const DEADLINE_GRACE_MS = 60;

/** @public */
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
    headTimeoutMs: headTimeoutMs(route, attempt),
  };
}

function headTimeoutMs(
  {latencyTargetMs}: Route,
  {leftMs, predictedMs, canFailOver}: AttemptOptions
): number {
  const longestMs = Math.max(1, leftMs + DEADLINE_GRACE_MS);
  if (!canFailOver) return longestMs;
  return Math.min(longestMs, failoverTimeoutMs(latencyTargetMs, predictedMs));
}
