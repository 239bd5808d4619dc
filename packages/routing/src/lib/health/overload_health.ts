/** Busy fraction up to which an instance that was overloaded has room again. */
const RECOVERED_BUSY = 0.75;
/** Time for which it has to have room before it counts as healthy. */
const RECOVERY_MS = 1000;

/** The load of an instance, as an `OverloadGuard` sees it. @internal */
export interface InstanceLoad {
  readonly isOverloaded: boolean;
  /** Smoothed fraction of the time that the event loop is busy, 0 to 1. */
  readonly busyFraction: number;
}

/**
 * Judges by its load whether an instance should get new connections. Refusals
 * make an overloaded instance look less busy for a moment, so it counts as
 * healthy again only once it has had room for a while; the balancer, which asks
 * twice, would otherwise leave all callers of a customer at it. Times are
 * monotonic milliseconds.
 *
 * @internal
 */
export class OverloadHealth {
  private healthy = true;
  /** Since when there has been room; undefined while there is none. */
  private roomSinceMs: number | undefined;

  private constructor() {}

  static create(): OverloadHealth {
    return new OverloadHealth();
  }

  get isHealthy(): boolean {
    return this.healthy;
  }

  onSample({isOverloaded, busyFraction}: InstanceLoad, nowMs: number): void {
    if (isOverloaded) this.healthy = false;
    if (isOverloaded || busyFraction > RECOVERED_BUSY) {
      this.roomSinceMs = undefined;
      return;
    }
    this.roomSinceMs ??= nowMs;
    if (nowMs - this.roomSinceMs >= RECOVERY_MS) this.healthy = true;
  }
}
