import {honoredRetryAfterMs} from './retry_after.js';

/** A customer's usage beside the levels that it is compared with. @public */
export interface CustomerLevels {
  /** Weighted tokens admitted for the customer in the share window. */
  readonly given: number;
  /** Max-min level of the configured rate in the share window. */
  readonly level: number;
  /** Weighted tokens admitted for the customer in the recent window. */
  readonly recentGiven: number;
  /** Max-min level of all tokens admitted in the recent window. */
  readonly evenLevel: number;
}

/**
 * The inputs of an admission decision. Times in milliseconds.
 *
 * A customer's usage is measured in two sliding windows: the share window, over
 * which the configured rate is divided, and a shorter recent window, in which
 * customers are compared with each other. The request log has the inputs of
 * refused requests under these field names.
 *
 * @public
 */
export interface AdmissionInput extends CustomerLevels {
  /**
   * Predicted time of the prefill queued ahead of the request at its target.
   */
  readonly waitMs: number;
  /**
   * Time within which the first event of a stream, or any other response, is
   * on time.
   */
  readonly latencyTargetMs: number;
  /** Time left until the deadline of the request. */
  readonly leftMs: number;
  /** Whether the target has a free slot and enough free memory. */
  readonly hasRoom: boolean;
  /** Fraction of the service's slots that are in use, 0 to 1. */
  readonly occupancy: number;
  /** Undefined for a request that does not resume a stream. */
  readonly resume: ResumeInput | undefined;
  /** Length of the share window. */
  readonly windowMs: number;
  /** Random number from 0 (inclusive) to 1, spreads the retries of callers. */
  readonly spread: number;
}

/** What is known of a request that resumes a stream. @public */
export interface ResumeInput {
  /** Longest wait at the target with which the caller still gets the rest. */
  readonly maxWaitMs: number;
  /** Whether the fleet is known to have begun the stream. */
  readonly isKnown: boolean;
}

/** Whether a request is admitted, and if not, why and when to retry. @public */
export type AdmissionDecision =
  | {readonly kind: 'admit'}
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly retryAfterS: number;
    };

/** Why a request is refused. @public */
export const REFUSAL_REASON = {
  /**
   * The customer was admitted more than its share, and the wait or the occupancy
   * is above its limits, or the target has no room.
   */
  overShare: 'over_share',
  /**
   * The customer is within its share, or the request resumes a known stream, but
   * the wait or the occupancy is above its limits, or the target has no room.
   */
  noCapacity: 'no_capacity',
} as const;

/** One of the refusal reasons. @public */
export type RefusalReason =
  (typeof REFUSAL_REASON)[keyof typeof REFUSAL_REASON];

/** The load up to which a request is admitted. */
interface AdmissionLimits {
  /** Fraction of the latency target that may be spent waiting. */
  readonly maxWaitFraction: number;
  /** Fraction of the service's slots that may be in use. */
  readonly maxOccupancy: number;
}

/** Limits of a customer with low recent usage that is within its share. */
const LENIENT_WITHIN_SHARE: AdmissionLimits = {
  maxWaitFraction: 0.45,
  maxOccupancy: 1,
};
/** Limits of a customer with low recent usage that is over its share. */
const LENIENT_OVER_SHARE: AdmissionLimits = {
  maxWaitFraction: 0.3,
  maxOccupancy: 0.95,
};
/** Limits of a customer with high recent usage. */
const STRICT: AdmissionLimits = {maxWaitFraction: 0, maxOccupancy: 0.3};
/** Ratio of recent usage to the even level up to which lenient limits apply. */
const LENIENT_MAX_USAGE_RATIO = 0.5;
/**
 * The ratio from which strict limits apply; in between they are interpolated.
 */
const STRICT_MIN_USAGE_RATIO = 1.6;
/** Shortest time to retry after, unless the deadline is near. @internal */
export const MIN_RETRY_AFTER_MS = 250;
/** Longest random time added, so that refused callers do not retry together. */
const RETRY_AFTER_SPREAD_MS = 1200;
/**
 * Admits a request, or refuses it at once with a time after which to retry.
 * Requests are refused rather than queued because, when more is requested than
 * the engines can start, an admitted request that is late delays all others.
 *
 * @internal
 */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const {given, level, hasRoom, waitMs, windowMs, latencyTargetMs} = input;
  const {resume} = input;
  if (resume !== undefined && mayWaitLong(resume, input)) {
    return decideResume(input, resume);
  }
  const isOverShare = given > level;
  const limits = limitsFor(
    input,
    isOverShare ? LENIENT_OVER_SHARE : LENIENT_WITHIN_SHARE
  );
  const excessMs = waitMs - limits.maxWaitFraction * latencyTargetMs;
  const hasSlots = input.occupancy <= limits.maxOccupancy;
  if (hasRoom && excessMs <= 0 && hasSlots) return {kind: 'admit'};
  if (!isOverShare) return refuse(REFUSAL_REASON.noCapacity, excessMs, input);
  // Time until the customer's usage is down to the level, if it is admitted
  // nothing more and its usage was spread evenly over the window.
  const timeToLevelMs = (1 - level / given) * windowMs;
  return refuse(REFUSAL_REASON.overShare, timeToLevelMs, input);
}

/**
 * Whether a resumed stream is decided on by how long its caller waits. It counted
 * against its customer's share when it began. One that is not known may be a
 * pretext, so its customer has to be below both levels.
 *
 * @internal
 */
export function mayWaitLong(
  {isKnown}: Pick<ResumeInput, 'isKnown'>,
  {given, level, recentGiven, evenLevel}: CustomerLevels
): boolean {
  return isKnown || (given <= level && recentGiven <= evenLevel);
}

/**
 * Admits a resumed stream wherever there is room for it before its caller leaves.
 * The time to a first event is past, and what was spent on the stream is lost if
 * it is refused.
 */
function decideResume(
  input: AdmissionInput,
  {maxWaitMs: maxResumeWaitMs}: ResumeInput
): AdmissionDecision {
  const excessMs = input.waitMs - maxResumeWaitMs;
  if (input.hasRoom && excessMs <= 0) return {kind: 'admit'};
  return refuse(REFUSAL_REASON.noCapacity, excessMs, input);
}

/**
 * Returns the longest wait, in milliseconds, for which a request of a customer
 * within its share is admitted.
 *
 * @internal
 */
export function maxWaitMs(latencyTargetMs: number): number {
  return LENIENT_WITHIN_SHARE.maxWaitFraction * latencyTargetMs;
}

/** Returns the limits, stricter the higher the customer's recent usage. */
function limitsFor(
  {recentGiven, evenLevel}: AdmissionInput,
  lenient: AdmissionLimits
): AdmissionLimits {
  // The even level is 0 if nothing was admitted for any customer.
  const usageRatio = recentGiven === 0 ? 0 : recentGiven / evenLevel;
  const strictness = clampFraction(
    (usageRatio - LENIENT_MAX_USAGE_RATIO) /
      (STRICT_MIN_USAGE_RATIO - LENIENT_MAX_USAGE_RATIO)
  );
  return {
    maxWaitFraction: interpolate(
      lenient.maxWaitFraction,
      STRICT.maxWaitFraction,
      strictness
    ),
    maxOccupancy: interpolate(
      lenient.maxOccupancy,
      STRICT.maxOccupancy,
      strictness
    ),
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

/** Returns when to retry: after the delay and a random time. */
function retryAfterMs(delayMs: number, {leftMs, spread}: AdmissionInput) {
  const baseMs = Math.max(MIN_RETRY_AFTER_MS, delayMs);
  const spreadMs = baseMs + spread * RETRY_AFTER_SPREAD_MS;
  return honoredRetryAfterMs(spreadMs, leftMs, spread);
}
