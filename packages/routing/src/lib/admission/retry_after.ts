/**
 * Callers ignore a Retry-After longer than this fraction of the time left
 * until their deadline.
 */
const MAX_RETRY_AFTER_FRACTION = 1 / 3;
const MIN_RETRY_AFTER_MS = 50;

/**
 * Shortens a time to retry after so that callers honor it. The limit is spread, so
 * that callers with the same deadline do not retry together. At least 50 ms.
 *
 * @param leftMs - time left until the deadline of the request
 * @param spread - random number from 0 (inclusive) to 1
 * @public
 */
export function honoredRetryAfterMs(
  retryAfterMs: number,
  leftMs: number,
  spread: number
): number {
  const maxMs = leftMs * MAX_RETRY_AFTER_FRACTION * (0.75 + 0.25 * spread);
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(retryAfterMs, maxMs));
}
