import type {Clock} from '@applebend/utils';

/**
 * Change of the difference between the clocks above which a confirmation
 * expires.
 */
const MAX_CLOCK_DRIFT_MS = 250;

/**
 * Age of the latest confirmation that this instance holds the newest
 * configuration. A confirmation is as old as the start of its read. The
 * monotonic clock can stop while the process is suspended, so a confirmation
 * expires when the wall clock has moved relative to the monotonic clock.
 *
 * @public
 */
export class ConfigFreshness {
  private confirmedAtMs = -Infinity;
  private wallOffsetMs = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ConfigFreshness {
    return new ConfigFreshness(clock);
  }

  /** Returns the stamp of a read that is about to be sent. */
  startRead(): ReadStamp {
    const monotonicMs = this.clock.monotonicMs();
    return {monotonicMs, wallOffsetMs: this.clock.wallMs() - monotonicMs};
  }

  /** Records that the read with this stamp confirmed the held configuration. */
  onConfirmed(stamp: ReadStamp): void {
    if (stamp.monotonicMs < this.confirmedAtMs) return;
    this.confirmedAtMs = stamp.monotonicMs;
    this.wallOffsetMs = stamp.wallOffsetMs;
  }

  /** Returns the confirmation's age in milliseconds; infinite without one. */
  ageMs(): number {
    const monotonicMs = this.clock.monotonicMs();
    const offsetMs = this.clock.wallMs() - monotonicMs;
    if (Math.abs(offsetMs - this.wallOffsetMs) > MAX_CLOCK_DRIFT_MS) {
      this.confirmedAtMs = -Infinity;
    }
    return monotonicMs - this.confirmedAtMs;
  }
}

/** The time at which a read was sent, by both clocks. @public */
export interface ReadStamp {
  readonly monotonicMs: number;
  /** Wall clock minus monotonic clock. */
  readonly wallOffsetMs: number;
}
