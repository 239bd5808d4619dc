/** Continuous batching: every running answer gains one token a step. */
import {hash32} from '@applebend/utils';

/** How fast an engine is. @public */
export interface EngineSpeed {
  /** Step time of an empty batch. */
  readonly stepMs: number;
  /** Added to the step for each running answer. */
  readonly stepPerRequestMs: number;
  /** Prefill time for each input token that is not cached. */
  readonly prefillPerTokenMs: number;
  /** Answers that run at once; the others wait inside the engine. */
  readonly maxBatch: number;
}

/** One answer in the making. @public */
export interface Job {
  readonly id: string;
  readonly seed: string;
  readonly inputTokens: number;
  readonly outputTokens: number;
  prefillLeftMs: number;
  produced: number;
  onToken: (token: string) => void;
  onDone: () => void;
}

/** The text of one token, known from the request and its place. @public */
export function tokenAt(seed: string, index: number): string {
  return ` w${(hash32(`${seed}#${index}`) % 10_000).toString(36)}`;
}

/** @public */
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
