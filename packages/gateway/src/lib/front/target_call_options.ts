/** Makes the call to a target out of a caller's request. */
import type {Target} from '@applebend/routing';
import type {TargetCallOptions} from '../upstream/target_call.js';
import type {CallerSide, ExchangeTools} from './exchange_tools.js';
import type {RequestContext} from './request_context.js';

/** What differs between the attempts of a request. Times in ms. @public */
export interface AttemptOptions {
  readonly target: Target;
  readonly leftMs: number;
  /** The last event that was passed on, where a stream goes on. */
  readonly resumeAfter: string | undefined;
  readonly headTimeoutMs: number;
}

/** @public */
export function targetCallOptions(
  {caller, customer}: RequestContext,
  {req, body}: CallerSide,
  {agent, codec}: ExchangeTools,
  attempt: AttemptOptions
): TargetCallOptions {
  const {target, leftMs, resumeAfter, headTimeoutMs} = attempt;
  const method = req.method ?? 'GET';
  const headers = codec.writeTarget({
    method,
    caller: req.rawHeaders,
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
    headTimeoutMs,
  };
}
