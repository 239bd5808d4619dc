import {EventThrottle} from '@applebend/utils';

import type {LogFields, Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

const INTERVAL_MS = 1000;

/**
 * Logs an event that may occur very often: at most one line a second, with the
 * number of events since the line before and the fields of the last one.
 *
 * @public
 */
export class RateLimitedLog {
  private readonly throttle = EventThrottle.create(INTERVAL_MS);
  private timer: NodeJS.Timeout | undefined;
  private lastFields: LogFields = {};

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
    private readonly message: string
  ) {}

  static create(log: Logger, clock: Clock, message: string): RateLimitedLog {
    return new RateLimitedLog(log, clock, message);
  }

  onEvent(fields: LogFields = {}): void {
    this.lastFields = fields;
    const nowMs = this.clock.monotonicMs();
    const count = this.throttle.onEvent(nowMs);
    if (count > 0) {
      this.write(count);
      return;
    }
    this.timer ??= setTimeout(() => this.flush(), this.throttle.leftMs(nowMs));
    this.timer.unref();
  }

  /** Logs the events that have no line yet. */
  flush(): void {
    const count = this.throttle.take(this.clock.monotonicMs());
    if (count > 0) this.write(count);
  }

  private write(count: number): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.log.warn(this.message, {...this.lastFields, count});
  }
}
