/**
 * Time as the decisions see it. Decisions take a clock instead of reading the
 * system's, so that a test can replay any interleaving.
 *
 * @public
 */
export interface Clock {
  /** Monotonic milliseconds; the origin is arbitrary. */
  monotonicMs(): number;
  /** Wall-clock milliseconds since the Unix epoch. */
  wallMs(): number;
}

/** The clock of this process. @public */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};
