/** The load that one or several instances put on a target. @public */
export interface TargetLoad {
  /** Number of requests sent and not ended. */
  readonly running: number;
  /** Uncached prompt tokens of requests without a first event yet. */
  readonly prefillTokens: number;
  /** Memory that the running requests occupy, in tokens. */
  readonly kvTokens: number;
}

/** The load of a target without requests. @public */
export const NO_LOAD: TargetLoad = {
  running: 0,
  prefillTokens: 0,
  kvTokens: 0,
};

/** Returns the sum of two loads. @public */
export function addLoad(a: TargetLoad, b: TargetLoad): TargetLoad {
  return {
    running: a.running + b.running,
    prefillTokens: a.prefillTokens + b.prefillTokens,
    kvTokens: a.kvTokens + b.kvTokens,
  };
}

/** Counts the load that this instance puts on a target. @public */
export class LocalLoad {
  private running = 0;
  private prefillTokens = 0;
  private kvTokens = 0;

  private constructor() {}

  static create(): LocalLoad {
    return new LocalLoad();
  }

  get load(): TargetLoad {
    const {running, prefillTokens, kvTokens} = this;
    return {running, prefillTokens, kvTokens};
  }

  /**
   * Counts a request that is sent. The caller must report its end by `onEnd`.
   *
   * @param prefillTokens - uncached prompt tokens
   * @param kvTokens - memory that the request occupies, in tokens
   */
  start(prefillTokens: number, kvTokens: number): LoadHandle {
    this.running += 1;
    this.prefillTokens += prefillTokens;
    this.kvTokens += kvTokens;
    let prefilling = true;
    let ended = false;
    const onFirstEvent = () => {
      if (!prefilling) return;
      prefilling = false;
      this.prefillTokens -= prefillTokens;
    };
    const onEnd = () => {
      if (ended) return;
      ended = true;
      onFirstEvent();
      this.running -= 1;
      this.kvTokens -= kvTokens;
    };
    return {onFirstEvent, onEnd};
  }
}

/** Reports on a counted request. Repeated calls have no effect. @public */
export interface LoadHandle {
  /** Removes the prefill from the load. */
  onFirstEvent(): void;
  /** Removes the request from the load. */
  onEnd(): void;
}
