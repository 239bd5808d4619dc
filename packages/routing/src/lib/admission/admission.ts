/**
 * Decides whether a request is taken now or refused at once with a time to
 * come back. Answers the load of a heavy day: more is asked than the engines
 * can begin, and a request that is late delays all others.
 */

/** What the decision rests on. Times in milliseconds. @public */
export interface AdmissionInput {
  /** Prefill that waits ahead of the request at its target. */
  readonly waitMs: number;
  /** Time to the first event, or the answer, that is on time. */
  readonly latencyTargetMs: number;
  /** Time that the request still has. */
  readonly leftMs: number;
  readonly hasRoom: boolean;
  /** Service that the customer was given in the window. */
  readonly given: number;
  /** The max-min level of the window. */
  readonly level: number;
  readonly windowMs: number;
  /** From 0 up to 1, spreads the return of refused clients. */
  readonly spread: number;
}

/** @public */
export type AdmissionDecision =
  | {readonly kind: 'admit'}
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly retryAfterS: number;
    };

/** @public */
export const REFUSAL_REASON = {
  overShare: 'over_share',
  noCapacity: 'no_capacity',
} as const;

/** @public */
export type RefusalReason =
  (typeof REFUSAL_REASON)[keyof typeof REFUSAL_REASON];

/** Parts of the latency target that may be spent waiting. */
const WAIT_PART = 0.45;
const OVER_SHARE_WAIT_PART = 0.15;
const MIN_RETURN_MS = 250;
const RETURN_SPREAD_MS = 1200;
/** Clients heed at most this part of the time that they have left. */
const HEEDED_PART = 1 / 3;

/** @public */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {waitMs, latencyTargetMs, hasRoom, given, level} = input;
  const overShare = given > level;
  const part = overShare ? OVER_SHARE_WAIT_PART : WAIT_PART;
  const limitMs = part * latencyTargetMs;
  if (hasRoom && waitMs <= limitMs) return {kind: 'admit'};
  const reason = overShare
    ? REFUSAL_REASON.overShare
    : REFUSAL_REASON.noCapacity;
  const aheadMs = overShare
    ? ((given - level) / level) * input.windowMs
    : waitMs - limitMs;
  return {
    kind: 'refuse',
    reason,
    retryAfterS: returnTimeMs(aheadMs, input) / 1000,
  };
}

function returnTimeMs(aheadMs: number, input: AdmissionInput): number {
  const {leftMs, spread} = input;
  const wishedMs = Math.max(MIN_RETURN_MS, aheadMs);
  const spreadMs = wishedMs + spread * RETURN_SPREAD_MS;
  const longestMs = leftMs * HEEDED_PART * (0.75 + 0.25 * spread);
  return Math.max(50, Math.min(spreadMs, longestMs));
}
