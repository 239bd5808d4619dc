/** An earlier return would find the target as unavailable as before. */
const MIN_DELAY_MS = 50;
/** Callers with short deadlines do not wait longer for a retry. */
const MAX_DELAY_MS = 1500;

/**
 * Gives callers that are refused, because no target of a service takes requests
 * for now, times to return one after the other, so that they do not all come for
 * the same free place.
 *
 * @public
 */
export class ReturnTimes {
  private lastMs = -Infinity;

  private constructor() {}

  static create(): ReturnTimes {
    return new ReturnTimes();
  }

  /**
   * Returns when the next caller should retry. After the longest delay the
   * sequence begins again.
   *
   * @param availableAtMs - when the first target takes requests again
   * @param intervalMs - time between two requests that can be taken here
   */
  next(availableAtMs: number, intervalMs: number, nowMs: number): number {
    const firstMs = Math.max(availableAtMs, nowMs + MIN_DELAY_MS);
    const nextMs = Math.max(firstMs, this.lastMs + intervalMs);
    const isTooLate = nextMs > Math.max(firstMs, nowMs + MAX_DELAY_MS);
    this.lastMs = isTooLate ? firstMs : nextMs;
    return this.lastMs;
  }
}
