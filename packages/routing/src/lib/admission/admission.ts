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
  /** Part of the service's slots that are taken, 0 to 1. */
  readonly occupancy: number;
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

/** Part of the latency target that may be spent waiting. */
const WAIT_PART = 0.45;
/** The same for a customer that is just over its share. */
const OVER_SHARE_WAIT_PART = 0.2;
/** The same for one that is far over its share. */
const FAR_OVER_WAIT_PART = 0.05;
/** Slots that customers over their share may use, by how far they are over. */
const OVER_SHARE_OCCUPANCY = 0.85;
const FAR_OVER_OCCUPANCY = 0.6;
/** Times its share at which a customer counts as far over it. */
const FAR_OVER = 2;
const MIN_RETURN_MS = 250;
const RETURN_SPREAD_MS = 1200;
/** Clients heed at most this part of the time that they have left. */
const HEEDED_PART = 1 / 3;

/** @public */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {given, level} = input;
  return given > level ? decideOverShare(input) : decideWithinShare(input);
}

/** The longest wait for which a customer within its share is taken. @public */
export function maxWaitMs(latencyTargetMs: number): number {
  return WAIT_PART * latencyTargetMs;
}

function decideWithinShare(input: AdmissionInput): AdmissionDecision {
  const {hasRoom, waitMs, latencyTargetMs} = input;
  const limitMs = maxWaitMs(latencyTargetMs);
  if (hasRoom && waitMs <= limitMs) return {kind: 'admit'};
  const aheadMs = waitMs - limitMs;
  return refuse(REFUSAL_REASON.noCapacity, aheadMs, input);
}

/** The further a customer is over its share, the more has to be free. */
function decideOverShare(input: AdmissionInput): AdmissionDecision {
  const {hasRoom, waitMs, latencyTargetMs, occupancy} = input;
  const over = input.given / input.level;
  const far = Math.min(1, (over - 1) / (FAR_OVER - 1));
  const waitPart = between(OVER_SHARE_WAIT_PART, FAR_OVER_WAIT_PART, far);
  const limitMs = waitPart * latencyTargetMs;
  const mostTaken = between(OVER_SHARE_OCCUPANCY, FAR_OVER_OCCUPANCY, far);
  const isFree = hasRoom && waitMs <= limitMs && occupancy <= mostTaken;
  if (isFree) return {kind: 'admit'};
  const aheadMs = (1 - 1 / over) * input.windowMs;
  return refuse(REFUSAL_REASON.overShare, aheadMs, input);
}

function refuse(
  reason: RefusalReason,
  aheadMs: number,
  input: AdmissionInput
): AdmissionDecision {
  const retryAfterS = returnTimeMs(aheadMs, input) / 1000;
  return {kind: 'refuse', reason, retryAfterS};
}

function between(from: number, to: number, part: number): number {
  return from + (to - from) * part;
}

function returnTimeMs(aheadMs: number, input: AdmissionInput): number {
  const {leftMs, spread} = input;
  const wishedMs = Math.max(MIN_RETURN_MS, aheadMs);
  const spreadMs = wishedMs + spread * RETURN_SPREAD_MS;
  const longestMs = leftMs * HEEDED_PART * (0.75 + 0.25 * spread);
  return Math.max(50, Math.min(spreadMs, longestMs));
}
