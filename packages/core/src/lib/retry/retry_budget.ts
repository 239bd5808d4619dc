/**
 * Limits retries to a part of the fresh load, so that a failing target cannot
 * multiply the load on the others.
 */
const TOKENS_PER_REQUEST = 0.1;
const MAX_TOKENS = 20;

/** A token bucket that fresh requests fill. @public */
export class RetryBudget {
  private tokens = MAX_TOKENS / 2;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Counts one fresh request. */
  onNewRequest(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
  }

  /** Takes one retry from the budget; false when it is spent. */
  tryAcquire(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
