import type {RunStatus} from './request_state.js';

/** Reasons for which a request is refused or fails. @public */
export type RefusalKind =
  | 'bad_request'
  | 'unauthorized'
  | 'unknown_service'
  | 'no_matching_class'
  | 'request_too_large'
  | 'idempotency_key_required'
  | 'idempotency_key_reused'
  /** Another request with the same idempotency key is running. */
  | 'claim_in_progress'
  /** A request with this key may have run, but its response is not stored. */
  | 'claim_outcome_unknown'
  | 'claim_log_unavailable'
  | 'queue_full'
  /** The instance has too many open requests. */
  | 'overloaded'
  /** The instance has no configuration yet, or is setting up the service. */
  | 'not_ready'
  | 'shutting_down'
  | 'deadline_passed'
  | 'no_target'
  | 'target_unreachable'
  | 'target_lost'
  /** The target sent nothing for too long. */
  | 'target_stalled'
  /** The target returned the response of another request. */
  | 'answer_mismatched'
  /** Equal requests were running when targets were lost. */
  | 'quarantined'
  | 'internal';

/** An error that the entry returns to the caller. @public */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly message: string;
  /** Whether the request ran on a target. */
  readonly ran: RunStatus;
  /** Set if a retry may succeed. */
  readonly retryAfterMs: number | undefined;
}

/** HTTP status codes of refusals. @public */
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

/** JSON body of a refusal. @public */
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

/** Returns whole seconds for the Retry-After header, at least 1. @public */
export function retryAfterSeconds(retryAfterMs: number): number {
  return Math.max(1, Math.ceil(retryAfterMs / MS_PER_S));
}

/** Builds the response body of a refusal. @public */
export function refusalBody(refusal: Refusal, requestId: string): RefusalBody {
  const {kind, message, ran, retryAfterMs} = refusal;
  const base = {type: kind, message, ran, request_id: requestId};
  if (retryAfterMs === undefined) return {error: base};
  return {error: {...base, retry_after_s: retryAfterSeconds(retryAfterMs)}};
}
