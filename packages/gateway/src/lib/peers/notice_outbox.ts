import type {Departure} from '@applebend/routing';
import type {TargetNotice} from './target_notice.js';

/** A departure is sent again for this long, because a message may be lost. */
const REPEAT_MS = 2000;
/** Time between two messages with the same departure. */
const REPEAT_INTERVAL_MS = 200;

interface RepeatedDeparture {
  readonly departure: Departure;
  readonly untilMs: number;
}

/**
 * The notices that the next messages to some peers carry. A departure is sent
 * several times, a pause once: it is a hint only and over soon.
 *
 * @public
 */
export class NoticeOutbox {
  private readonly departures = new Map<string, RepeatedDeparture>();
  private pauses: TargetNotice[] = [];
  private sentAtMs = -Infinity;

  private constructor() {}

  static create(): NoticeOutbox {
    return new NoticeOutbox();
  }

  add(notice: TargetNotice, nowMs: number): void {
    if (notice.kind === 'pause') {
      this.pauses.push(notice);
      return;
    }
    const {kind, target} = notice.departure;
    const key = `${kind} ${target.id} ${target.startedAtMs}`;
    const {departure} = notice;
    if (!this.departures.has(key)) this.sentAtMs = -Infinity;
    this.departures.set(key, {departure, untilMs: nowMs + REPEAT_MS});
  }

  /** Returns whether the next message has notices to carry. */
  isDue(nowMs: number): boolean {
    if (this.pauses.length > 0) return true;
    const isInterval = nowMs - this.sentAtMs >= REPEAT_INTERVAL_MS;
    return isInterval && this.departures.size > 0;
  }

  /** Returns the notices for the next message. */
  take(nowMs: number): TargetNotice[] {
    const notices = this.pauses;
    this.pauses = [];
    if (nowMs - this.sentAtMs < REPEAT_INTERVAL_MS) return notices;
    this.sentAtMs = nowMs;
    for (const [key, {departure, untilMs}] of this.departures) {
      if (nowMs > untilMs) this.departures.delete(key);
      else notices.push({kind: 'departure', departure});
    }
    return notices;
  }
}
