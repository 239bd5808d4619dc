/** Time between two checks of the balancer, which acts on the second failed one. */
const CHECK_INTERVAL_MS = 1000;
/** For a check that is late. */
const MARGIN_MS = 200;

/**
 * Knows when the balancer has noticed that an instance is not ready, so that a
 * new connection of a caller reaches another one. Until then all connections of
 * one caller come to the same instance. Times are monotonic milliseconds.
 *
 * @public
 */
export class RotationNotice {
  /** When the first of a series of checks failed. */
  private failedAtMs: number | undefined;

  private constructor() {}

  static create(): RotationNotice {
    return new RotationNotice();
  }

  /** Records the answer to a check of the balancer. */
  onCheck(isReady: boolean, nowMs: number): void {
    if (isReady) this.failedAtMs = undefined;
    else this.failedAtMs ??= nowMs;
  }

  /**
   * Milliseconds until the balancer has noticed; the longest time that it takes
   * if no check has failed yet.
   */
  leftMs(nowMs: number): number {
    const failedAtMs = this.failedAtMs ?? nowMs + CHECK_INTERVAL_MS;
    const noticedAtMs = failedAtMs + CHECK_INTERVAL_MS + MARGIN_MS;
    return Math.max(0, noticedAtMs - nowMs);
  }
}
