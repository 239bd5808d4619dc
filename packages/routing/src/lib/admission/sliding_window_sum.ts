const BUCKETS = 16;

/**
 * A sum over a sliding window of time. Values expire in steps of one bucket, a
 * sixteenth of the window.
 *
 * @public
 */
export class SlidingWindowSum {
  private readonly buckets = new Float64Array(BUCKETS);
  private readonly bucketMs: number;
  /** Number of the newest bucket, counted from the clock's origin. */
  private newest = 0;
  private sum = 0;

  private constructor(windowMs: number) {
    this.bucketMs = windowMs / BUCKETS;
  }

  static create(windowMs: number): SlidingWindowSum {
    return new SlidingWindowSum(windowMs);
  }

  /** Adds a value to the newest bucket, after advancing it to `nowMs`. */
  add(value: number, nowMs: number): void {
    this.advance(nowMs);
    this.buckets[this.newest % BUCKETS] += value;
    this.sum += value;
  }

  /** Returns the sum of the window that ends now. */
  total(nowMs: number): number {
    this.advance(nowMs);
    return this.sum;
  }

  private advance(nowMs: number): void {
    const now = Math.floor(nowMs / this.bucketMs);
    if (now <= this.newest) return;
    const first = Math.max(this.newest + 1, now - BUCKETS + 1);
    for (let n = first; n <= now; n++) this.buckets[n % BUCKETS] = 0;
    this.newest = now;
    this.sum = this.buckets.reduce((total, value) => total + value, 0);
  }
}
