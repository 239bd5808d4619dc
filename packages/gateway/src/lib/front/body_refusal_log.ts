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
  private loggedAtMs = -Infinity;
  private refused = 0;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock
  ) {}

  static create(log: Logger, clock: Clock): BodyRefusalLog {
    return new BodyRefusalLog(log, clock);
  }

  onRefused(customer: string, {heldBytes, limitBytes}: BodyMemory): void {
    this.refused += 1;
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.loggedAtMs < MIN_LOG_INTERVAL_MS) return;
    this.loggedAtMs = nowMs;
    const {refused} = this;
    this.refused = 0;
    this.log.warn('no memory for request bodies', {
      refused,
      customer,
      heldBytes,
      limitBytes,
    });
  }
}
