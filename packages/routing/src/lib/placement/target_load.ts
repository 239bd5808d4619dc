/** What runs and waits at one target: own requests, and what peers tell. */

/** The work of one sender at a target. @public */
export interface TargetLoad {
  /** Requests sent and not ended. */
  readonly running: number;
  /** Prompt tokens of requests whose first event has not come. */
  readonly prefillTokens: number;
  /** Memory that the running requests take, in tokens. */
  readonly kvTokens: number;
}

/** @public */
export const NO_LOAD: TargetLoad = {
  running: 0,
  prefillTokens: 0,
  kvTokens: 0,
};

/** Adds two figures. @public */
export function addLoad(a: TargetLoad, b: TargetLoad): TargetLoad {
  return {
    running: a.running + b.running,
    prefillTokens: a.prefillTokens + b.prefillTokens,
    kvTokens: a.kvTokens + b.kvTokens,
  };
}

/** Own work at one target, counted exactly. @public */
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

  /** Counts a request that is sent; end it exactly once. */
  start(prefillTokens: number, kvTokens: number): RunningRequest {
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

/** A counted request; both calls may be repeated. @public */
export interface RunningRequest {
  onFirstEvent(): void;
  onEnd(): void;
}
