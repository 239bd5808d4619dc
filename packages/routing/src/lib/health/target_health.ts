/**
 * What requests tell about a target's health: how many fail, and whether it
 * is to be left alone for a while. A target that was left alone is tried
 * with one request first.
 */

const FAILURE_WEIGHT = 0.12;
const FAILURES_TO_AVOID = 3;
const FIRST_AVOIDANCE_MS = 400;
const MAX_AVOIDANCE_MS = 4000;

/** @public */
export class TargetHealth {
  private rate = 0;
  private failuresInRow = 0;
  private avoidUntilMs = -Infinity;
  private avoidanceMs = FIRST_AVOIDANCE_MS;
  private trialRunning = false;

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
    if (this.failuresInRow < FAILURES_TO_AVOID) return true;
    return nowMs >= this.avoidUntilMs && !this.trialRunning;
  }

  onSent(): void {
    if (this.failuresInRow >= FAILURES_TO_AVOID) this.trialRunning = true;
  }

  onSuccess(): void {
    this.rate *= 1 - FAILURE_WEIGHT;
    this.failuresInRow = 0;
    this.avoidanceMs = FIRST_AVOIDANCE_MS;
    this.trialRunning = false;
  }

  /** A request that ended without telling either way. */
  onNeutral(): void {
    this.trialRunning = false;
  }

  onFailure(nowMs: number): void {
    this.rate += FAILURE_WEIGHT * (1 - this.rate);
    this.failuresInRow += 1;
    this.trialRunning = false;
    if (this.failuresInRow < FAILURES_TO_AVOID) return;
    this.avoidUntilMs = nowMs + this.avoidanceMs;
    this.avoidanceMs = Math.min(MAX_AVOIDANCE_MS, this.avoidanceMs * 2);
  }
}
