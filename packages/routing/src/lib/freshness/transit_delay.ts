/** The shortest transit is the least of this time, or of twice as long. */
const WINDOW_MS = 10_000;

/**
 * How much longer messages of one sender were under way than its fastest ones of
 * late, although the two clocks have nothing in common: what a message gains on
 * the fastest one it has spent in queues, most of all at a busy receiver.
 *
 * @public
 */
export class TransitDelay {
  private windowStartMs = -Infinity;
  /** The least difference of the clocks in this window and in the last one. */
  private leastMs = Infinity;
  private lastLeastMs = Infinity;

  private constructor() {}

  static create(): TransitDelay {
    return new TransitDelay();
  }

  /**
   * Records a message, and returns how late it is in milliseconds.
   *
   * @param sentAtMs - by the sender's monotonic clock
   * @param receivedAtMs - by the receiver's
   */
  onMessage(sentAtMs: number, receivedAtMs: number): number {
    if (receivedAtMs - this.windowStartMs > WINDOW_MS) {
      this.windowStartMs = receivedAtMs;
      this.lastLeastMs = this.leastMs;
      this.leastMs = Infinity;
    }
    const differenceMs = receivedAtMs - sentAtMs;
    this.leastMs = Math.min(this.leastMs, differenceMs);
    return differenceMs - Math.min(this.leastMs, this.lastLeastMs);
  }
}
