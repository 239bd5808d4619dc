/** Multiple of the target gap between events that counts as a stall. */
const STALL_FACTOR = 3;
const MIN_STALL_TIMEOUT_MS = 1000;

/**
 * Returns for how long a stream may send no event before another target takes
 * over, in milliseconds.
 *
 * @public
 */
export function stallTimeoutMs(eventGapTargetMs: number): number {
  return Math.max(MIN_STALL_TIMEOUT_MS, STALL_FACTOR * eventGapTargetMs);
}
