/** Multiple of the latency target after which a request is abandoned. */
const LATENCY_TARGET_FACTOR = 1.6;
/**
 * Multiple of the predicted time to the first event. A request is not abandoned
 * during a long prefill, since another target would have to repeat it.
 */
const PREDICTION_FACTOR = 2.5;
/** Shortest timeout, for routes with a low latency target. */
const MIN_TIMEOUT_MS = 400;

/**
 * Returns how long a target may take to start its response before the request
 * is sent to another target, in milliseconds from sending the request.
 *
 * @param predictedMs - predicted time to the first event
 * @public
 */
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
