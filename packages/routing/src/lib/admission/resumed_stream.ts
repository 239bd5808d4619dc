import {MIN_RETRY_AFTER_MS} from './admission.js';

import type {Candidate} from '../placement/placer.js';

/** What a decision needs to know of a resumed stream. @public */
export interface ResumeNeeds {
  /** Time after which the caller leaves if no event came, in milliseconds. */
  readonly gapLimitMs: number;
  /** Whether the fleet is known to have begun the stream. */
  readonly isKnown: boolean;
}

/**
 * Part of the time until a caller leaves that a prediction may fill: prefill often
 * takes longer than predicted, and the gap began before the request came.
 */
const MAX_PREDICTED_FRACTION = 3 / 4;
/**
 * Part of the time left that may pass before a resumed stream goes on; the rest is
 * for its events. A refused caller would wait for a third by itself.
 */
const MAX_RESUME_FRACTION = 2 / 3;

/**
 * Returns the longest wait at a candidate with which the caller still gets the rest
 * of its stream, in milliseconds. A wait that is no longer than that of a refused
 * caller is too long only if nothing can come of it.
 *
 * @internal
 */
export function maxResumeWaitMs(
  {gapLimitMs}: ResumeNeeds,
  leftMs: number,
  {prefillMs}: Candidate
): number {
  const latestMs = Math.min(gapLimitMs, leftMs);
  if (prefillMs >= latestMs) return -Infinity;
  const firstEventMs = Math.min(
    MAX_PREDICTED_FRACTION * gapLimitMs,
    MAX_RESUME_FRACTION * leftMs
  );
  const shortestMs = Math.min(
    MIN_RETRY_AFTER_MS,
    MAX_PREDICTED_FRACTION * (latestMs - prefillMs)
  );
  return Math.max(firstEventMs - prefillMs, shortestMs);
}
