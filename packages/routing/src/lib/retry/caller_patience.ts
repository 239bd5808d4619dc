/** Shortest gap after which callers leave a stream. */
const MIN_GAP_LIMIT_MS = 2000;
/** Multiple of the latency target. */
const LATENCY_TARGET_FACTOR = 4;
/** Multiple of the target gap between events. */
const EVENT_GAP_FACTOR = 8;

/**
 * Returns for how long callers wait for the first or the next event of a stream
 * before they leave it, in milliseconds.
 *
 * @public
 */
export function callerGapLimitMs(
  latencyTargetMs: number,
  eventGapTargetMs: number
): number {
  return Math.max(
    MIN_GAP_LIMIT_MS,
    LATENCY_TARGET_FACTOR * latencyTargetMs,
    EVENT_GAP_FACTOR * eventGapTargetMs
  );
}
