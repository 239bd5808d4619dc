import type {Notice} from './notice.js';

/** A notice is sent again for this long, because a message may be lost. */
const REPEAT_MS = 2000;
/** Time between two messages with the same notice. */
const REPEAT_INTERVAL_MS = 200;
/** Bounds a message; further notices follow in the next one. */
const MAX_NOTICES = 60;

/** A pause is a hint only and over soon, so it is sent once. */
type PauseNotice = Extract<Notice, {kind: 'pause'}>;
type RepeatedNotice = Exclude<Notice, PauseNotice>;

interface Repetition {
  readonly notice: RepeatedNotice;
  readonly untilMs: number;
  readonly sentAtMs: number;
}

/** The notices that the next messages to some peers carry. @public */
export class NoticeOutbox {
  /** Those sent first come first. */
  private readonly repeated = new Map<string, Repetition>();
  private pauses: Notice[] = [];

  private constructor() {}

  static create(): NoticeOutbox {
    return new NoticeOutbox();
  }

  add(notice: Notice, nowMs: number): void {
    if (notice.kind === 'pause') {
      this.pauses.push(notice);
      return;
    }
    const key = keyOf(notice);
    const sentAtMs = this.repeated.get(key)?.sentAtMs ?? -Infinity;
    const untilMs = nowMs + REPEAT_MS;
    this.repeated.set(key, {notice, untilMs, sentAtMs});
  }

  /** Returns whether the next message has notices to carry. */
  isDue(nowMs: number): boolean {
    if (this.pauses.length > 0) return true;
    for (const {sentAtMs} of this.repeated.values()) {
      if (nowMs - sentAtMs >= REPEAT_INTERVAL_MS) return true;
    }
    return false;
  }

  /** Returns the notices for the next message. */
  take(nowMs: number): Notice[] {
    const notices = this.pauses;
    this.pauses = [];
    for (const [key, repetition] of [...this.repeated]) {
      if (notices.length >= MAX_NOTICES) break;
      const {notice, untilMs, sentAtMs} = repetition;
      if (nowMs - sentAtMs < REPEAT_INTERVAL_MS) continue;
      this.repeated.delete(key);
      if (nowMs > untilMs && sentAtMs > -Infinity) continue;
      notices.push(notice);
      this.repeated.set(key, {notice, untilMs, sentAtMs: nowMs});
    }
    return notices;
  }
}

const KEYS: {
  readonly [K in RepeatedNotice['kind']]: (
    notice: Extract<Notice, {kind: K}>
  ) => string;
} = {
  departure: ({departure: {kind, target}}) =>
    `${kind} ${target.id} ${target.startedAtMs}`,
  loss: ({loss: {fingerprint, target}}) => `loss ${fingerprint} ${target}`,
  quarantine: ({quarantine: {fingerprint}}) => `quarantine ${fingerprint}`,
};

function keyOf(notice: RepeatedNotice): string {
  const key = KEYS[notice.kind] as (notice: RepeatedNotice) => string;
  return key(notice);
}
