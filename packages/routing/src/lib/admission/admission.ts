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
interface AdmissionLimits {
  /** Part of the latency target that may be spent waiting. */
  readonly maxWaitFraction: number;
  /** Part of the service's slots that may be taken. */
  readonly maxOccupancy: number;
}

/** Limits of a customer that was given little beside others. */
const LENIENT_WITHIN_SHARE: AdmissionLimits = {maxWaitFraction: 0.45, maxOccupancy: 1};
const LENIENT_OVER_SHARE: AdmissionLimits = {maxWaitFraction: 0.3, maxOccupancy: 0.95};
/** Limits of one that was given much; between, they fall evenly. */
const STRICT: AdmissionLimits = {maxWaitFraction: 0, maxOccupancy: 0.3};
/** Part of the even level up to which the first limits hold. */
const LENIENT_MAX_USAGE_RATIO = 0.5;
/** Times the even level from which the last limits hold. */
const STRICT_MIN_USAGE_RATIO = 1.6;
const MIN_RETRY_AFTER_MS = 250;
const RETRY_AFTER_SPREAD_MS = 1200;
/** Clients heed at most this part of the time that they have left. */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;

/** @public */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {given, level, hasRoom, waitMs, windowMs, latencyTargetMs} = input;
  const isOverShare = given > level;
  const limits = limitsFor(
    input,
    isOverShare ? LENIENT_OVER_SHARE : LENIENT_WITHIN_SHARE
  );
  const excessWaitMs = waitMs - limits.maxWaitFraction * latencyTargetMs;
  const hasSlots = input.occupancy <= limits.maxOccupancy;
  if (hasRoom && excessWaitMs <= 0 && hasSlots) return {kind: 'admit'};
  if (!isOverShare) return refuse(REFUSAL_REASON.noCapacity, excessWaitMs, input);
  const untilLevelMs = (1 - level / given) * windowMs;
  return refuse(REFUSAL_REASON.overShare, untilLevelMs, input);
}

/** The longest wait for which a customer within its share is taken. @public */
export function maxWaitMs(latencyTargetMs: number): number {
  return LENIENT_WITHIN_SHARE.maxWaitFraction * latencyTargetMs;
}

/** The more a customer was given beside others, the more has to be free. */
function limitsFor(
  {recentGiven, evenLevel}: AdmissionInput,
  lenient: AdmissionLimits
): AdmissionLimits {
  // The even level is 0 where nothing was given to anyone.
  const usageRatio = recentGiven === 0 ? 0 : recentGiven / evenLevel;
  const strictness = clampFraction((usageRatio - LENIENT_MAX_USAGE_RATIO) / (STRICT_MIN_USAGE_RATIO - LENIENT_MAX_USAGE_RATIO));
  return {
    maxWaitFraction: interpolate(lenient.maxWaitFraction, STRICT.maxWaitFraction, strictness),
    maxOccupancy: interpolate(lenient.maxOccupancy, STRICT.maxOccupancy, strictness),
  };
}

function refuse(
  reason: RefusalReason,
  delayMs: number,
  input: AdmissionInput
): AdmissionDecision {
  const retryAfterS = retryAfterMs(delayMs, input) / 1000;
  return {kind: 'refuse', reason, retryAfterS};
}

function clampFraction(value: number): number {
  return Math.min(1, Math.max(0, value));
}

function interpolate(from: number, to: number, fraction: number): number {
  return from + (to - from) * fraction;
}

function retryAfterMs(delayMs: number, input: AdmissionInput): number {
  const {leftMs, spread} = input;
  const baseMs = Math.max(MIN_RETRY_AFTER_MS, delayMs);
  const spreadMs = baseMs + spread * RETRY_AFTER_SPREAD_MS;
  const maxMs = leftMs * MAX_RETRY_AFTER_FRACTION * (0.75 + 0.25 * spread);
  return Math.max(50, Math.min(spreadMs, maxMs));
}
