/** Weight of a new outcome in the moving average. */
const FAILURE_WEIGHT = 0.12;
/** Number of failures in a row. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;

/**
 * Tracks a target's health by the outcomes of its requests. A target with
 * several failures in a row, or one that cannot be reached, is ejected for a
 * while; then a single request probes it. Each further failure doubles the time
 * of ejection, up to a limit, and a success ends it and resets its time.
 *
 * @public
 */
export class TargetHealth {
  private smoothedFailureRate = 0;
  private consecutiveFailures = 0;
  private ejectedUntilMs = -Infinity;
  private ejectionMs = FIRST_EJECTION_MS;
  private isProbing = false;

  private constructor() {}

  static create(): TargetHealth {
    return new TargetHealth();
  }

  /** Moving average of the fraction of requests that failed, 0 to 1. */
  get failureRate(): number {
    return this.smoothedFailureRate;
  }

  /** Returns whether a request may be sent to the target now. */
  isUsable(nowMs: number): boolean {
    if (this.consecutiveFailures < FAILURES_TO_EJECT) return true;
    return nowMs >= this.ejectedUntilMs && !this.isProbing;
  }

  /** Records that a request is sent; after an ejection it is the probe. */
  onSent(): void {
    if (this.consecutiveFailures >= FAILURES_TO_EJECT) this.isProbing = true;
  }

  /** Records a request that the target served. */
  onSuccess(): void {
    this.smoothedFailureRate *= 1 - FAILURE_WEIGHT;
    this.consecutiveFailures = 0;
    this.ejectionMs = FIRST_EJECTION_MS;
    this.isProbing = false;
  }

  /** Records a request whose outcome says nothing about the target's health. */
  onInconclusive(): void {
    this.isProbing = false;
  }

  /** Records a request that the target failed. */
  onFailure(nowMs: number): void {
    this.addFailures(1, nowMs);
  }

  /** Records that no connection to the target could be opened, which ejects it. */
  onUnreachable(nowMs: number): void {
    this.addFailures(FAILURES_TO_EJECT, nowMs);
  }

  private addFailures(count: number, nowMs: number): void {
    this.smoothedFailureRate += FAILURE_WEIGHT * (1 - this.smoothedFailureRate);
    this.consecutiveFailures += count;
    this.isProbing = false;
    if (this.consecutiveFailures < FAILURES_TO_EJECT) return;
    this.ejectedUntilMs = nowMs + this.ejectionMs;
    this.ejectionMs = Math.min(MAX_EJECTION_MS, this.ejectionMs * 2);
  }
}
