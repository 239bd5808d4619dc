/**
 * What requests tell about a target's health: how many fail, and whether it
 * is to be left alone for a while. A target that was left alone is tried
 * with one request first.
 */

const FAILURE_WEIGHT = 0.12;
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;

/** @public */
export class TargetHealth {
  private rate = 0;
  private consecutiveFailures = 0;
  private ejectedUntilMs = -Infinity;
  private ejectionMs = FIRST_EJECTION_MS;
  private isProbeRunning = false;

  private constructor() {}

  static create(): TargetHealth {
    return new TargetHealth();
  }

  /** Part of the requests that failed of late, 0 to 1. */
  get failureRate(): number {
    return this.rate;
  }

  /** Whether a request may be sent there now. */
  isUsable(nowMs: number): boolean {
    if (this.consecutiveFailures < FAILURES_TO_EJECT) return true;
    return nowMs >= this.ejectedUntilMs && !this.isProbeRunning;
  }

  onSent(): void {
    if (this.consecutiveFailures >= FAILURES_TO_EJECT) this.isProbeRunning = true;
  }

  onSuccess(): void {
    this.rate *= 1 - FAILURE_WEIGHT;
    this.consecutiveFailures = 0;
    this.ejectionMs = FIRST_EJECTION_MS;
    this.isProbeRunning = false;
  }

  /** A request that ended without telling either way. */
  onInconclusive(): void {
    this.isProbeRunning = false;
  }

  onFailure(nowMs: number): void {
    this.rate += FAILURE_WEIGHT * (1 - this.rate);
    this.consecutiveFailures += 1;
    this.isProbeRunning = false;
    if (this.consecutiveFailures < FAILURES_TO_EJECT) return;
    this.ejectedUntilMs = nowMs + this.ejectionMs;
    this.ejectionMs = Math.min(MAX_EJECTION_MS, this.ejectionMs * 2);
  }
}
