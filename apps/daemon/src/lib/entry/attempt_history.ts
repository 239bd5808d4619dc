import type {RetryBudget} from '@applebend/core';

const MAX_ATTEMPTS = 3;

/**
 * The attempts of one request: their ids, the targets that later ones avoid,
 * and whether a further one is within the limits of the request and of the
 * instance.
 *
 * @public
 */
export class AttemptHistory {
  private readonly avoided: string[] = [];
  private attempts = 0;

  private constructor(
    private readonly requestId: string,
    private readonly budget: RetryBudget
  ) {}

  static create(requestId: string, budget: RetryBudget): AttemptHistory {
    return new AttemptHistory(requestId, budget);
  }

  /** Targets where an attempt failed. */
  get avoid(): readonly string[] {
    return this.avoided;
  }

  /** Starts an attempt and returns its id. */
  begin(): string {
    this.attempts += 1;
    return `${this.requestId}.${this.attempts}`;
  }

  onTargetFailed(target: string): void {
    this.avoided.push(target);
  }

  /** Spends one retry; returns false if no further attempt is allowed. */
  tryRetry(): boolean {
    return this.attempts < MAX_ATTEMPTS && this.budget.tryAcquire();
  }
}
