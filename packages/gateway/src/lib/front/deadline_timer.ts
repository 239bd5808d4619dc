/** Node runs a timer with a longer delay after 1 ms. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * How long to wait past the deadline, so that the response that the target
 * itself sends at the deadline still arrives.
 */
const DEADLINE_GRACE_MS = 60;

/** Starts a timer for a target whose response is due at the deadline. @public */
export function startResponseTimer(
  onLate: () => void,
  leftMs: number
): NodeJS.Timeout {
  return startDeadlineTimer(onLate, Math.max(0, leftMs) + DEADLINE_GRACE_MS);
}

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
