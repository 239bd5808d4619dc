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
  /** Service that the customer was given in the window of shares. */
  readonly given: number;
  /** The max-min level of the configured rate in that window. */
  readonly level: number;
  /** Service that the customer was given in the last seconds. */
  readonly recentGiven: number;
  /** The max-min level of what all customers were given in them. */
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

/** What has to hold for a call to be taken. */
interface Limits {
  /** Part of the latency target that may be spent waiting. */
  readonly waitPart: number;
  /** Part of the service's slots that may be taken. */
  readonly occupancy: number;
}

/** Limits of a customer that was given little beside others. */
const FIRST_WITHIN_SHARE: Limits = {waitPart: 0.45, occupancy: 1};
const FIRST_OVER_SHARE: Limits = {waitPart: 0.3, occupancy: 0.95};
/** Limits of one that was given much; between, they fall evenly. */
const LAST: Limits = {waitPart: 0, occupancy: 0.3};
/** Part of the even level up to which the first limits hold. */
const FIRST_UP_TO = 0.5;
/** Times the even level from which the last limits hold. */
const LAST_FROM = 1.6;
const MIN_RETURN_MS = 250;
const RETURN_SPREAD_MS = 1200;
/** Clients heed at most this part of the time that they have left. */
const HEEDED_PART = 1 / 3;

/** @public */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {given, level, hasRoom, waitMs, windowMs, latencyTargetMs} = input;
  const isOver = given > level;
  const limits = limitsFor(
    input,
    isOver ? FIRST_OVER_SHARE : FIRST_WITHIN_SHARE
  );
  const lateByMs = waitMs - limits.waitPart * latencyTargetMs;
  const hasSlots = input.occupancy <= limits.occupancy;
  if (hasRoom && lateByMs <= 0 && hasSlots) return {kind: 'admit'};
  if (!isOver) return refuse(REFUSAL_REASON.noCapacity, lateByMs, input);
  const aheadMs = (1 - level / given) * windowMs;
  return refuse(REFUSAL_REASON.overShare, aheadMs, input);
}

/** The longest wait for which a customer within its share is taken. @public */
export function maxWaitMs(latencyTargetMs: number): number {
  return FIRST_WITHIN_SHARE.waitPart * latencyTargetMs;
}

/** The more a customer was given beside others, the more has to be free. */
function limitsFor(
  {recentGiven, evenLevel}: AdmissionInput,
  first: Limits
): Limits {
  // The even level is 0 where nothing was given to anyone.
  const ofEven = recentGiven === 0 ? 0 : recentGiven / evenLevel;
  const far = clampPart((ofEven - FIRST_UP_TO) / (LAST_FROM - FIRST_UP_TO));
  return {
    waitPart: between(first.waitPart, LAST.waitPart, far),
    occupancy: between(first.occupancy, LAST.occupancy, far),
  };
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
