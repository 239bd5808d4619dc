/** Requests that an engine runs and holds back. @public */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
}

interface LoadSample extends EngineLoad {
  readonly atMs: number;
}

/** The load of an engine as it was a while ago. @public */
export class LaggingLoad {
  private readonly samples: LoadSample[] = [];

  private constructor(private readonly lagMs: number) {}

  static create(lagMs: number): LaggingLoad {
    return new LaggingLoad(lagMs);
  }

  /** Adds the present load and returns the one to report. */
  report({running, waiting}: EngineLoad, nowMs: number): EngineLoad {
    this.samples.push({atMs: nowMs, running, waiting});
    const reportedAtMs = nowMs - this.lagMs;
    while ((this.samples[1]?.atMs ?? Infinity) <= reportedAtMs) {
      this.samples.shift();
    }
    const [oldest] = this.samples;
    return {running: oldest.running, waiting: oldest.waiting};
  }
}
