/** When a target that has not begun to answer is given up for another. */

/** Latency targets that a request may stay without an answer. */
const LATENCY_TARGET_FACTOR = 1.6;
/**
 * Times its predicted first event. A long prompt is not given up while it is
 * read, since another target would read it all again.
 */
const PREDICTION_FACTOR = 2.5;
const MIN_TIMEOUT_MS = 400;

/** Milliseconds from the send. @public */
export function failoverTimeoutMs(
  latencyTargetMs: number,
  predictedMs: number
): number {
  return Math.max(
    MIN_TIMEOUT_MS,
    LATENCY_TARGET_FACTOR * latencyTargetMs,
    PREDICTION_FACTOR * predictedMs
  );
}
