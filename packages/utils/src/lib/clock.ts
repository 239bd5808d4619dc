/**
 * A source of time. Code takes a clock instead of reading the system's, so that
 * tests can control the time and replay any interleaving.
 *
 * @public
 */
export interface Clock {
  /** Monotonic milliseconds; the origin is arbitrary. */
  monotonicMs(): number;
  /** Wall-clock milliseconds since the Unix epoch. */
  wallMs(): number;
}

/** The system's clock. @public */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
