import {hash32} from '@applebend/utils';

/** Simulated speed and batch size of an engine. @public */
export interface EngineSpeed {
  /** Duration of one decode step, before the cost per running request. */
  readonly stepMs: number;
  /** Added to the step for each running request. */
  readonly stepPerRequestMs: number;
  /** Prefill time per input token that is not in the prefix cache. */
  readonly prefillPerTokenMs: number;
  /** Requests that run at the same time; the others wait in the engine. */
  readonly maxBatch: number;
}

/** A completion that an engine is producing or has queued. @public */
export interface Job {
  readonly id: string;
  /** Determines the tokens; see {@link tokenAt}. */
  readonly seed: string;
  readonly inputTokens: number;
  readonly outputTokens: number;
  /** Prefill time left; no token is produced before it is used up. */
  prefillLeftMs: number;
  /** Output tokens produced so far. */
  produced: number;
  onToken: (token: string) => void;
  onDone: () => void;
}

/**
 * Returns the text of the output token at `index`. It depends only on the
 * seed and the index, so that tests can compute the expected response.
 * @public
 */
export function tokenAt(seed: string, index: number): string {
  return ` w${(hash32(`${seed}#${index}`) % 10_000).toString(36)}`;
}

/**
 * Simulates continuous batching: each step produces one token for every
 * running job whose prefill is complete.
 * @public
 */
export class EngineBatch {
  private running: Job[] = [];
  private waiting: Job[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly speed: EngineSpeed) {}

  static create(speed: EngineSpeed): EngineBatch {
    return new EngineBatch(speed);
  }

  get runningCount(): number {
    return this.running.length;
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  add(job: Job): void {
    this.waiting.push(job);
    this.admit();
    if (this.timer === undefined) this.schedule();
  }

  cancel(job: Job): void {
    this.running = this.running.filter(other => other !== job);
    this.waiting = this.waiting.filter(other => other !== job);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.running = [];
    this.waiting = [];
  }

  private admit(): void {
    while (this.running.length < this.speed.maxBatch) {
      const job = this.waiting.shift();
      if (job === undefined) return;
      this.running.push(job);
    }
  }

  private get stepMs(): number {
    const {stepMs, stepPerRequestMs} = this.speed;
    return stepMs + stepPerRequestMs * this.running.length;
  }

  private schedule(): void {
    const {stepMs} = this;
    this.timer = setTimeout(() => this.step(stepMs), stepMs);
  }

  private step(elapsedMs: number): void {
    this.timer = undefined;
    const finished: Job[] = [];
    for (const job of this.running) {
      if (job.prefillLeftMs > 0) {
        job.prefillLeftMs -= elapsedMs;
        continue;
      }
      job.onToken(tokenAt(job.seed, job.produced));
      job.produced += 1;
      if (job.produced >= job.outputTokens) finished.push(job);
    }
    this.running = this.running.filter(job => !finished.includes(job));
    for (const job of finished) job.onDone();
    this.admit();
    if (this.running.length > 0) this.schedule();
  }
}
