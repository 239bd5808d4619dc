/** The errors that callers receive: one tagged union and its HTTP shape. */
import type {RunStatus} from './request_state.js';

/** Every reason for which a caller is refused or let down. @public */
export type RefusalKind =
  | 'bad_request'
  | 'unauthorized'
  | 'unknown_service'
  | 'no_matching_class'
  | 'request_too_large'
  | 'idempotency_key_required'
  | 'idempotency_key_reused'
  | 'claim_in_progress'
  | 'claim_outcome_unknown'
  | 'claim_log_unavailable'
  | 'queue_full'
  | 'overloaded'
  | 'not_ready'
  | 'shutting_down'
  | 'deadline_passed'
  | 'no_target'
  | 'target_unreachable'
  | 'target_lost'
  | 'target_stalled'
  | 'answer_mismatched'
  | 'quarantined'
  | 'internal';

/** A refusal as the entry hands it to the caller. @public */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly message: string;
  readonly ran: RunStatus;
  /** Set where asking again makes sense. */
  readonly retryAfterMs: number | undefined;
}

/** The HTTP status of each refusal. @public */
export const REFUSAL_STATUS: Readonly<Record<RefusalKind, number>> = {
  bad_request: 400,
  unauthorized: 401,
  unknown_service: 404,
  no_matching_class: 403,
  request_too_large: 413,
  idempotency_key_required: 428,
  idempotency_key_reused: 422,
  claim_in_progress: 409,
  claim_outcome_unknown: 409,
  claim_log_unavailable: 503,
  queue_full: 429,
  overloaded: 503,
  not_ready: 503,
  shutting_down: 503,
  deadline_passed: 504,
  no_target: 503,
  target_unreachable: 502,
  target_lost: 502,
  target_stalled: 504,
  answer_mismatched: 502,
  quarantined: 422,
  internal: 500,
};

/** The JSON body of a refusal. @public */
export interface RefusalBody {
  readonly error: {
    readonly type: RefusalKind;
    readonly message: string;
    readonly ran: RunStatus;
    readonly request_id: string;
    readonly retry_after_s?: number;
  };
}

const MS_PER_S = 1000;

/** Whole seconds for the Retry-After header, at least one. @public */
export function retryAfterSeconds(retryAfterMs: number): number {
  return Math.max(1, Math.ceil(retryAfterMs / MS_PER_S));
}

/** Builds the JSON body of a refusal. @public */
export function refusalBody(refusal: Refusal, requestId: string): RefusalBody {
  const {kind, message, ran, retryAfterMs} = refusal;
  const base = {type: kind, message, ran, request_id: requestId};
  if (retryAfterMs === undefined) return {error: base};
  return {error: {...base, retry_after_s: retryAfterSeconds(retryAfterMs)}};
}
