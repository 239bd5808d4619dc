/**
 * Limits retries to a part of the fresh load, so that a failing target cannot
 * multiply the load on the others.
 */
const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED_RETRIES = 20;

/** A token bucket that fresh requests fill. @public */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES / 2;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Counts one fresh request. */
  onNewRequest(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the budget; false when it is spent. */
  tryAcquire(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
