/**
 * Limits how often an event is reported that may occur very often, and counts the
 * events that a report stands for.
 *
 * @public
 */
export class EventThrottle {
  private count = 0;
  private reportedAtMs = -Infinity;

  private constructor(private readonly intervalMs: number) {}

  /** @param intervalMs - least time between two reports */
  static create(intervalMs: number): EventThrottle {
    return new EventThrottle(intervalMs);
  }

  /**
   * Counts an event. Returns the number of events to report now, this one
   * included, or 0 while it is too soon.
   */
  onEvent(nowMs: number): number {
    this.count += 1;
    return this.leftMs(nowMs) > 0 ? 0 : this.take(nowMs);
  }

  /** Returns the events that are not reported yet, which are reported now. */
  take(nowMs: number): number {
    const {count} = this;
    this.count = 0;
    if (count > 0) this.reportedAtMs = nowMs;
    return count;
  }

  /** Time until the next report may be made, in milliseconds. */
  leftMs(nowMs: number): number {
    return Math.max(0, this.reportedAtMs + this.intervalMs - nowMs);
  }
}
