/** Makes the refusals that an entry gives, each with its own fixed part. */
import {match} from 'ts-pattern';
import {RUN_STATUS} from '@applebend/core';

import type {RunStatus, Refusal, RefusalKind} from '@applebend/core';
import type {UnansweredReason} from './target_attempt.js';

const SOON_MS = 1000;
const LATER_MS = 5000;

/** When asking again makes sense, unless the case knows better. */
const DEFAULT_RETRY_MS: Partial<Record<RefusalKind, number>> = {
  claim_in_progress: SOON_MS,
  claim_log_unavailable: LATER_MS,
  queue_full: LATER_MS,
  overloaded: SOON_MS,
  not_ready: SOON_MS,
  shutting_down: SOON_MS,
  deadline_passed: LATER_MS,
  no_target: LATER_MS,
  target_unreachable: SOON_MS,
  target_lost: SOON_MS,
  target_stalled: LATER_MS,
  answer_mismatched: SOON_MS,
};

/** A refusal of a request that surely did not run. @public */
export function notRun(
  kind: RefusalKind,
  message: string,
  retryAfterMs?: number
): Refusal {
  return refusal(kind, message, RUN_STATUS.notRun, retryAfterMs);
}

/** A refusal of a request that may have run. @public */
export function refusal(
  kind: RefusalKind,
  message: string,
  ran: RunStatus,
  retryAfterMs: number | undefined = DEFAULT_RETRY_MS[kind]
): Refusal {
  return {kind, message, ran, retryAfterMs};
}

/** What a caller is told when no answer came from the target. @public */
export function unansweredRefusal(
  reason: UnansweredReason,
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
