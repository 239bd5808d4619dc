/** A target cannot ask for a longer pause than this. */
const MAX_PAUSE_MS = 60_000;
/** Time after a pause in which requests are sent gradually. */
const RAMP_MS = 1000;
/** Requests that may be sent after a pause before any is served. */
const RAMP_FIRST_REQUESTS = 2;
/** Further requests that may be sent for each one that is served. */
const RAMP_REQUESTS_PER_SERVED = 3;

/**
 * The pause that a target asked for when it turned a request away. It gets no
 * request until the pause is over, then few until it serves some of them, so
 * that the callers who waited for it do not fill it again at once.
 *
 * @public
 */
export class TargetPause {
  private pausedUntilMs = -Infinity;
  private sentSincePause = 0;
  private servedSincePause = 0;

  private constructor() {}

  static create(): TargetPause {
    return new TargetPause();
  }

  /** When the pause ends, in monotonic milliseconds; -Infinity without one. */
  get endsAtMs(): number {
    return this.pausedUntilMs;
  }

  /** Returns whether a request may be sent to the target now. */
  isUsable(nowMs: number): boolean {
    if (nowMs < this.pausedUntilMs) return false;
    if (!this.isRamping(nowMs)) return true;
    const allowed =
      RAMP_FIRST_REQUESTS + RAMP_REQUESTS_PER_SERVED * this.servedSincePause;
    return this.sentSincePause < allowed;
  }

  /**
   * Starts a pause, or prolongs the present one. A longer pause than a minute
   * ends after a minute.
   */
  start(pauseMs: number, nowMs: number): void {
    const endsAtMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
    this.pausedUntilMs = Math.max(this.pausedUntilMs, endsAtMs);
    this.sentSincePause = 0;
    this.servedSincePause = 0;
  }

  /** Records that a request is sent to the target. */
  onSent(): void {
    this.sentSincePause += 1;
  }

  /** Records that the target began to respond to a request. */
  onServed(): void {
    this.servedSincePause += 1;
  }

  private isRamping(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs + RAMP_MS;
  }
}

/** Returns whether a pause is longer than is honored. @public */
export function isExcessivePause(pauseMs: number): boolean {
  return pauseMs > MAX_PAUSE_MS;
}
