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
  /** The max-min level of the configured rate in the window. */
  readonly level: number;
  /** The max-min level of what all customers were given in the window. */
  readonly evenLevel: number;
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
/**
 * Limits of a customer over its share. They fall all the way from half of the
 * even level on, so that no two customers apart have the same.
 */
const OVER_SHARE_LIMITS = {
  /** Part of the even level up to which the first limits hold. */
  fromEven: 0.5,
  /** Times the even level from which the last limits hold. */
  toEven: 1.6,
  /** Part of the latency target that may be spent waiting. */
  waitPart: {first: 0.3, last: 0},
  /** Part of the service's slots that may be taken. */
  occupancy: {first: 0.95, last: 0.3},
} as const;
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

/** The more a customer was given beside others, the more has to be free. */
function decideOverShare(input: AdmissionInput): AdmissionDecision {
  const {hasRoom, waitMs, latencyTargetMs, occupancy} = input;
  const {fromEven, toEven, waitPart, occupancy: taken} = OVER_SHARE_LIMITS;
  const ofEven = input.given / input.evenLevel;
  const far = clampPart((ofEven - fromEven) / (toEven - fromEven));
  const limitMs = between(waitPart.first, waitPart.last, far) * latencyTargetMs;
  const mostTaken = between(taken.first, taken.last, far);
  const isFree = hasRoom && waitMs <= limitMs && occupancy <= mostTaken;
  if (isFree) return {kind: 'admit'};
  const aheadMs = (1 - input.level / input.given) * input.windowMs;
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

function clampPart(part: number): number {
  return Math.min(1, Math.max(0, part));
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
