const MS_PER_S = 1000;

/**
 * Tokens that are earned at a rate, up to a maximum, and taken one for each
 * request. It begins empty and without a rate.
 *
 * @internal
 */
export class TokenBucket {
  private ratePerS = 0;
  private maxTokens = 0;
  /** Tokens at the time below. */
  private balance = 0;
  private updatedAtMs = 0;

  private constructor() {}

  static create(): TokenBucket {
    return new TokenBucket();
  }

  /** Removes all tokens. */
  empty(nowMs: number): void {
    this.balance = 0;
    this.updatedAtMs = nowMs;
  }

  /** Sets the rate from now on; what was earned before is kept. */
  setRate(ratePerS: number, maxTokens: number, nowMs: number): void {
    this.refill(nowMs);
    this.ratePerS = ratePerS;
    this.maxTokens = maxTokens;
  }

  /**
   * When it holds a number of tokens, which may be past; Infinity if it earns
   * none and lacks some.
   */
  holdsAtMs(tokens: number, nowMs: number): number {
    this.refill(nowMs);
    const missing = tokens - this.balance;
    if (this.ratePerS === 0) return missing > 0 ? Infinity : nowMs;
    return nowMs + (missing * MS_PER_S) / this.ratePerS;
  }

  /**
   * Takes tokens, also such that it does not hold.
   *
   * @param least - the balance does not fall below this
   */
  take(count: number, least: number, nowMs: number): void {
    this.refill(nowMs);
    this.balance = Math.max(least, this.balance - count);
  }

  private refill(nowMs: number): void {
    const earned = (this.ratePerS * (nowMs - this.updatedAtMs)) / MS_PER_S;
    this.balance = Math.min(this.maxTokens, this.balance + earned);
    this.updatedAtMs = nowMs;
  }
}
