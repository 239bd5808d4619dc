/** Shortest time for which a stream can be resumed, whatever the routes say. */
const MIN_RETENTION_MS = 30_000;

/**
 * For how long a stream can be resumed after it began, and its version matters.
 *
 * @param longestTimeoutMs - the longest timeout of any route
 * @public
 */
export function streamRetentionMs(longestTimeoutMs: number): number {
  return Math.max(MIN_RETENTION_MS, longestTimeoutMs);
}
