import {match} from 'ts-pattern';
import {RUN_STATUS} from '@applebend/core';

import type {RunStatus, Refusal, RefusalKind} from '@applebend/core';
import type {NoResponseReason} from './target_attempt.js';

const SHORT_RETRY_MS = 1000;
const LONG_RETRY_MS = 5000;

/** Default retry delays of the refusals after which a retry makes sense. */
const DEFAULT_RETRY_AFTER_MS: Partial<Record<RefusalKind, number>> = {
  claim_in_progress: SHORT_RETRY_MS,
  claim_log_unavailable: LONG_RETRY_MS,
  queue_full: LONG_RETRY_MS,
  overloaded: SHORT_RETRY_MS,
  not_ready: SHORT_RETRY_MS,
  shutting_down: SHORT_RETRY_MS,
  deadline_passed: LONG_RETRY_MS,
  no_target: LONG_RETRY_MS,
  target_unreachable: SHORT_RETRY_MS,
  target_lost: SHORT_RETRY_MS,
  target_stalled: LONG_RETRY_MS,
  answer_mismatched: SHORT_RETRY_MS,
};

/** Creates a refusal of a request that did not run. @public */
export function notRun(
  kind: RefusalKind,
  message: string,
  retryAfterMs?: number
): Refusal {
  return refusal(kind, message, RUN_STATUS.notRun, retryAfterMs);
}

/**
 * Creates a refusal. `ran` states whether the request ran; the default of
 * `retryAfterMs` depends on the kind.
 *
 * @public
 */
export function refusal(
  kind: RefusalKind,
  message: string,
  ran: RunStatus,
  retryAfterMs: number | undefined = DEFAULT_RETRY_AFTER_MS[kind]
): Refusal {
  return {kind, message, ran, retryAfterMs};
}

/** Creates the refusal for an attempt without a response. @public */
export function noResponseRefusal(
  reason: NoResponseReason,
  ran: RunStatus
): Refusal {
  return match(reason)
    .with('lost', () => refusal('target_lost', 'the target was lost', ran))
    .with('broke', () => refusal('target_lost', 'no answer came', ran))
    .with('stalled', () => refusal('target_stalled', 'no answer came', ran))
    .with('mismatched', () =>
      refusal('answer_mismatched', 'another answer came', ran)
    )
    .with('deadline', () =>
      refusal('deadline_passed', 'no answer came before the deadline', ran)
    )
    .exhaustive();
}
