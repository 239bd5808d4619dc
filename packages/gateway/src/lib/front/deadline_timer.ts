/** Node runs a timer with a longer delay after 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Starts the timer of a deadline, which a route may set to any length. One that
 * is further away than the longest timer (24.8 days) passes after that time.
 *
 * @public
 */
export function startDeadlineTimer(
  onDeadline: () => void,
  leftMs: number
): NodeJS.Timeout {
  return setTimeout(onDeadline, Math.min(leftMs, MAX_TIMER_MS));
}
