import type {AttemptKey, SharedRun} from '@applebend/routing';
import type {Notice} from './notice.js';

/** A notice is sent again for this long, because a message may be lost. */
const REPEAT_MS = 2000;
/** Time between two messages with the same notice. */
const REPEAT_INTERVAL_MS = 200;
/** Bounds a message; further notices follow in the next one. */
const MAX_NOTICES = 60;
/** Bounds a message; further attempts follow in the next one. */
const MAX_ATTEMPTS = 400;
/** Bounds a message; the first ones are sent first. */
const MAX_RUNS = 40;
/** Bounds the memory and the messages of an instance whose calls all fail. */
const MAX_WAITING_RUNS = 400;
/** A run is told twice, because a message may be lost. */
const RUN_SENDS = 2;

/**
 * A pause is over soon, a limit is named again and again, a save of the journal
 * is followed by others, and there are too many streams and ended runs.
 */
type SentOnce = Extract<
  Notice,
  {kind: 'pause' | 'limit' | 'streams' | 'journal_saved' | 'unresolved'}
>;
type StreamNotice = Extract<Notice, {kind: 'streams'}>;
type RepeatedNotice = Exclude<Notice, SentOnce>;

interface Repetition {
  readonly notice: RepeatedNotice;
  readonly addedAtMs: number;
  readonly untilMs: number;
  readonly sentAtMs: number;
}

/** A run that ended without a result, until it has been sent. */
interface WaitingRun {
  readonly run: SharedRun;
  readonly dueAtMs: number;
  readonly sendsLeft: number;
}

/** The notices that the next messages to some peers carry. @public */
export class NoticeOutbox {
  /** Those sent first come first. */
  private readonly repeated = new Map<string, Repetition>();
  /** Those that are sent once. */
  private single: Notice[] = [];
  /** Attempts whose software version is to be sent, by version. */
  private readonly attempts = new Map<string, AttemptKey[]>();
  private runs: WaitingRun[] = [];

  private constructor() {}

  static create(): NoticeOutbox {
    return new NoticeOutbox();
  }

  add(notice: Notice, nowMs: number): void {
    switch (notice.kind) {
      case 'pause':
      case 'limit':
      case 'journal_saved':
        this.single.push(notice);
        return;
      case 'streams':
        this.addAttempts(notice);
        return;
      case 'unresolved':
        this.addRuns(notice.runs, nowMs);
        return;
      case 'departure':
      case 'loss':
      case 'refused':
      case 'quarantine':
      case 'survivals':
      case 'version':
        this.repeat(notice, nowMs);
    }
  }

  private addAttempts({version, attempts}: StreamNotice): void {
    const waiting = this.attempts.get(version) ?? [];
    waiting.push(...attempts);
    this.attempts.set(version, waiting);
  }

  private addRuns(runs: readonly SharedRun[], nowMs: number): void {
    for (const run of runs) {
      if (this.runs.length >= MAX_WAITING_RUNS) return;
      this.runs.push({run, dueAtMs: nowMs, sendsLeft: RUN_SENDS});
    }
  }

  private repeat(notice: RepeatedNotice, nowMs: number): void {
    const key = keyOf(notice);
    const sentAtMs = this.repeated.get(key)?.sentAtMs ?? -Infinity;
    const untilMs = nowMs + REPEAT_MS;
    this.repeated.set(key, {notice, addedAtMs: nowMs, untilMs, sentAtMs});
  }

  /** Returns whether the next message has notices to carry. */
  isDue(nowMs: number): boolean {
    if (this.single.length > 0 || this.attempts.size > 0) return true;
    if (this.runs.some(({dueAtMs}) => nowMs >= dueAtMs)) return true;
    for (const {sentAtMs} of this.repeated.values()) {
      if (nowMs - sentAtMs >= REPEAT_INTERVAL_MS) return true;
    }
    return false;
  }

  /** Returns the notices for the next message. */
  take(nowMs: number): Notice[] {
    const runs = this.takeRuns(nowMs);
    const notices = [...this.single, ...this.takeAttempts(), ...runs];
    this.single = [];
    for (const [key, repetition] of [...this.repeated]) {
      if (notices.length >= MAX_NOTICES) break;
      const {notice, addedAtMs, untilMs, sentAtMs} = repetition;
      if (nowMs - sentAtMs < REPEAT_INTERVAL_MS) continue;
      this.repeated.delete(key);
      if (nowMs > untilMs && sentAtMs > -Infinity) continue;
      notices.push(aged(notice, nowMs - addedAtMs));
      this.repeated.set(key, {...repetition, sentAtMs: nowMs});
    }
    return notices;
  }

  private takeRuns(nowMs: number): Notice[] {
    const runs: SharedRun[] = [];
    const waiting: WaitingRun[] = [];
    for (const entry of this.runs) {
      const {run, dueAtMs, sendsLeft} = entry;
      if (nowMs < dueAtMs || runs.length >= MAX_RUNS) {
        waiting.push(entry);
        continue;
      }
      runs.push(run);
      if (sendsLeft > 1) {
        const nextAtMs = nowMs + REPEAT_INTERVAL_MS;
        waiting.push({run, dueAtMs: nextAtMs, sendsLeft: sendsLeft - 1});
      }
    }
    this.runs = waiting;
    return runs.length > 0 ? [{kind: 'unresolved', runs}] : [];
  }

  private takeAttempts(): Notice[] {
    const notices: Notice[] = [];
    for (const [version, waiting] of this.attempts) {
      const attempts = waiting.splice(0, MAX_ATTEMPTS);
      if (waiting.length === 0) this.attempts.delete(version);
      notices.push({kind: 'streams', version, attempts});
    }
    return notices;
  }
}

/** What ran some time ago must not be taken for younger than it is. */
function aged(notice: RepeatedNotice, byMs: number): Notice {
  if (notice.kind !== 'survivals') return notice;
  const survivals = notice.survivals.map(({key, ageMs}) => ({
    key,
    ageMs: ageMs + byMs,
  }));
  return {kind: 'survivals', survivals};
}

/** Notices with the same key say the same. */
function keyOf(notice: RepeatedNotice): string {
  switch (notice.kind) {
    case 'departure': {
      const {kind, target} = notice.departure;
      return `${kind} ${target.id} ${target.startedAtMs}`;
    }
    case 'loss': {
      const {fingerprint, target} = notice.loss;
      return `loss ${fingerprint} ${target}`;
    }
    case 'refused':
      return `refused ${notice.target}`;
    case 'quarantine':
      return `quarantine ${notice.quarantine.fingerprint}`;
    case 'survivals':
      return `survivals ${notice.survivals.map(({key}) => key).join()}`;
    case 'version': {
      const {service, version} = notice.seen;
      return `version ${service} ${version}`;
    }
  }
}
