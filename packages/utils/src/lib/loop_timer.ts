/** Parts of the time that are counted; each gives the event loop a turn. */
const STEPS = 5;

/**
 * Calls back after a time in which the event loop ran. While the loop stands
 * still hardly any of it passes, so responses that have arrived meanwhile are
 * read first. Returns a function that cancels the call.
 *
 * @public
 */
export function afterLoopTime(
  durationMs: number,
  onElapsed: () => void
): () => void {
  let left = STEPS;
  const timer = setInterval(() => {
    left -= 1;
    if (left > 0) return;
    clearInterval(timer);
    onElapsed();
  }, durationMs / STEPS);
  return () => clearInterval(timer);
}
