import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {ExchangeReport} from './exchange_report.js';

/** Lines a second for requests that a target responded to. */
const ANSWERED_PER_S = 2;
/** Lines a second for all other requests. */
const OTHERS_PER_S = 50;
const WINDOW_MS = 1000;

/**
 * Logs ended requests up to a rate, which is lower for requests that a target
 * responded to than for those that failed or were refused. Each line counts the
 * requests that were left out since the one before.
 *
 * @public
 */
export class RequestLog {
  private windowStartMs = -Infinity;
  private answered = 0;
  private others = 0;
  private leftOut = 0;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock
  ) {}

  static create(log: Logger, clock: Clock): RequestLog {
    return new RequestLog(log, clock);
  }

  onEnd(report: ExchangeReport): void {
    if (!this.isWithinLimit(report.outcome === 'answered')) {
      this.leftOut += 1;
      return;
    }
    const {leftOut} = this;
    this.leftOut = 0;
    this.log.info('request ended', {...report, leftOut});
  }

  private isWithinLimit(wasAnswered: boolean): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.answered = 0;
      this.others = 0;
    }
    if (wasAnswered) return ++this.answered <= ANSWERED_PER_S;
    return ++this.others <= OTHERS_PER_S;
  }
}
