/** Long-term limit of retries, as a fraction of new requests. */
const TOKENS_PER_REQUEST = 0.1;
/** Largest burst of retries. */
const MAX_TOKENS = 20;

/**
 * Limits retries with a token bucket that new requests fill, so that a failing
 * target cannot multiply the load on the others.
 *
 * @public
 */
export class RetryBudget {
  private tokens = MAX_TOKENS / 2;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Counts one new request; retries do not count. */
  onNewRequest(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
  }

  /** Spends one retry; returns false if the budget is exhausted. */
  tryAcquire(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
