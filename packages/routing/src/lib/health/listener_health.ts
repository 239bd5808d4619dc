/**
 * Callers give a new connection about a second. A probe that takes longer than
 * this shows that many of them leave before they are served.
 */
const MAX_DELAY_MS = 600;
/** The listener counts as responsive again from this delay on. */
const RECOVERED_DELAY_MS = 300;

/**
 * Judges whether a listener accepts connections and reads requests in time, by
 * the outcomes of probes that are sent one after another. Times are monotonic
 * milliseconds.
 *
 * @public
 */
export class ListenerHealth {
  private sentAtMs: number | undefined;
  private lastDelayMs = 0;
  private wasResponsive = true;

  private constructor() {}

  static create(): ListenerHealth {
    return new ListenerHealth();
  }

  onProbeSent(nowMs: number): void {
    this.sentAtMs = nowMs;
  }

  onProbeAnswered(nowMs: number): void {
    const delayMs = nowMs - (this.sentAtMs ?? nowMs);
    this.sentAtMs = undefined;
    this.lastDelayMs = delayMs;
    if (delayMs > MAX_DELAY_MS) this.wasResponsive = false;
    if (delayMs <= RECOVERED_DELAY_MS) this.wasResponsive = true;
  }

  /** Called when the connection of a probe was rejected or broken. */
  onProbeFailed(): void {
    this.sentAtMs = undefined;
    this.wasResponsive = false;
  }

  /** The delay of the last probe, or of the present one if that is longer. */
  delayMs(nowMs: number): number {
    return Math.max(this.lastDelayMs, this.pendingMs(nowMs));
  }

  isResponsive(nowMs: number): boolean {
    return this.wasResponsive && this.pendingMs(nowMs) <= MAX_DELAY_MS;
  }

  private pendingMs(nowMs: number): number {
    return nowMs - (this.sentAtMs ?? nowMs);
  }
}
