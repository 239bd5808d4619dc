const MS_PER_S = 1000;

/** Adds up the time spent in synchronous work. @public */
export class BusyMeter {
  private busyMs = 0;
  private depth = 0;

  private constructor() {}

  static create(): BusyMeter {
    return new BusyMeter();
  }

  /** The total time so far, in seconds. */
  get busySeconds(): number {
    return this.busyMs / MS_PER_S;
  }

  /** Runs `work` and adds its time; nested calls are counted once. */
  measure<T>(work: () => T): T {
    if (this.depth > 0) return work();
    const startMs = performance.now();
    this.depth += 1;
    try {
      return work();
    } finally {
      this.depth -= 1;
      this.busyMs += performance.now() - startMs;
    }
  }
}
