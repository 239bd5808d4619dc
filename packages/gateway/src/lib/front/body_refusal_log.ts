import {EventThrottle} from '@applebend/utils';

import type {BodyMemory} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

/** Minimum time between two lines. */
const MIN_LOG_INTERVAL_MS = 1000;

/**
 * Logs that requests are refused because bodies fill the memory. Each line counts
 * the refusals since the one before and names the customer of the last.
 *
 * @public
 */
export class BodyRefusalLog {
  private readonly throttle = EventThrottle.create(MIN_LOG_INTERVAL_MS);

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock
  ) {}

  static create(log: Logger, clock: Clock): BodyRefusalLog {
    return new BodyRefusalLog(log, clock);
  }

  onRefused(customer: string, {heldBytes, limitBytes}: BodyMemory): void {
    const refused = this.throttle.onEvent(this.clock.monotonicMs());
    if (refused === 0) return;
    this.log.warn('no memory for request bodies', {
      refused,
      customer,
      heldBytes,
      limitBytes,
    });
  }
}
