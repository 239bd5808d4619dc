import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

const INTERVAL_MS = 1000;

/**
 * Logs an event that may occur very often: at most one line a second, with the
 * number of events since the line before.
 *
 * @public
 */
export class RateLimitedLog {
  private count = 0;
  private timer: NodeJS.Timeout | undefined;
  private lastLineMs = -Infinity;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
    private readonly message: string
  ) {}

  static create(log: Logger, clock: Clock, message: string): RateLimitedLog {
    return new RateLimitedLog(log, clock, message);
  }

  onEvent(): void {
    this.count += 1;
    if (this.timer !== undefined) return;
    const leftMs = this.lastLineMs + INTERVAL_MS - this.clock.monotonicMs();
    if (leftMs <= 0) {
      this.flush();
      return;
    }
    this.timer = setTimeout(() => this.flush(), leftMs);
    this.timer.unref();
  }

  /** Logs the events that have no line yet. */
  flush(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    if (this.count === 0) return;
    this.lastLineMs = this.clock.monotonicMs();
    const {count} = this;
    this.count = 0;
    this.log.warn(this.message, {count});
  }
}
