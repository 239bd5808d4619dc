import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {ExchangeReport} from './exchange_report.js';

/** The kinds of lines, each with a limit of its own. */
const LINE_KIND = {
  /** For a request that a target responded to. */
  answered: 'answered',
  /** For an answered request whose way explains a report of a target. */
  notable: 'notable',
  /** For a request that failed or was refused. */
  other: 'other',
} as const;

type LineKind = (typeof LINE_KIND)[keyof typeof LINE_KIND];

const MAX_LINES_PER_S: Readonly<Record<LineKind, number>> = {
  answered: 2,
  notable: 20,
  other: 50,
};
const WINDOW_MS = 1000;
/** A list is read again, here or by a peer, before it is older than this. */
const USUAL_LIST_AGE_MS = 1200;

/**
 * Logs ended requests up to a rate, which is lower for requests that a target
 * responded to than for those that failed or were refused. Each line counts the
 * requests that were left out since the one before.
 *
 * @public
 */
export class RequestLog {
  private windowStartMs = -Infinity;
  private readonly lines = new Map<LineKind, number>();
  private leftOut = 0;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock
  ) {}

  static create(log: Logger, clock: Clock): RequestLog {
    return new RequestLog(log, clock);
  }

  onEnd(report: ExchangeReport): void {
    if (!this.isWithinLimit(kindOf(report))) {
      this.leftOut += 1;
      return;
    }
    const {leftOut} = this;
    this.leftOut = 0;
    this.log.info('request ended', {...report, leftOut});
  }

  private isWithinLimit(kind: LineKind): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.windowStartMs = nowMs;
      this.lines.clear();
    }
    const count = (this.lines.get(kind) ?? 0) + 1;
    this.lines.set(kind, count);
    return count <= MAX_LINES_PER_S[kind];
  }
}

function kindOf(report: ExchangeReport): LineKind {
  if (report.outcome !== 'answered') return LINE_KIND.other;
  return isNotable(report) ? LINE_KIND.notable : LINE_KIND.answered;
}

/**
 * Whether the request was sent more than once, by an old list, while the store
 * was lost, or to a target that has departed since.
 */
function isNotable({sends, sent}: ExchangeReport): boolean {
  if (sends > 1) return true;
  if (sent === undefined) return false;
  const {listAgeMs, storeLostMs, hasDeparted} = sent;
  return hasDeparted || storeLostMs > 0 || listAgeMs > USUAL_LIST_AGE_MS;
}
