/**
 * Proof that the newest configuration is held. A proof starts when the read
 * was sent. While a process is suspended its monotonic clock stands still, so
 * a proof is dropped when the wall clock has moved against it.
 */
import type {Clock} from '@applebend/utils';

const MAX_CLOCK_DRIFT_MS = 250;

/** @public */
export class ConfigFreshness {
  private confirmedAtMs = -Infinity;
  private wallOffsetMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ConfigFreshness {
    return new ConfigFreshness(clock);
  }

  /** A stamp to take before a read is sent. */
  startRead(): ReadStamp {
    const monotonicMs = this.clock.monotonicMs();
    return {monotonicMs, wallOffsetMs: this.clock.wallMs() - monotonicMs};
  }

  /** The read that began with this stamp showed the newest state. */
  onConfirmed(stamp: ReadStamp): void {
    if (stamp.monotonicMs < this.confirmedAtMs) return;
    this.confirmedAtMs = stamp.monotonicMs;
    this.wallOffsetMs = stamp.wallOffsetMs;
  }

  /** Age of the proof in milliseconds; infinite without one. */
  ageMs(): number {
    const monotonicMs = this.clock.monotonicMs();
    const offsetMs = this.clock.wallMs() - monotonicMs;
    if (Math.abs(offsetMs - this.wallOffsetMs) > MAX_CLOCK_DRIFT_MS) {
      this.confirmedAtMs = -Infinity;
    }
    return monotonicMs - this.confirmedAtMs;
  }
}

/** When a read was sent, by both clocks. @public */
export interface ReadStamp {
  readonly monotonicMs: number;
  readonly wallOffsetMs: number;
}
