/** A request that ended at a target without a result. @public */
export interface EndedRun {
  readonly fingerprint: string;
  /** Keys of the blocks of its prompt that other requests may have, too. */
  readonly blocks: readonly string[];
  /**
   * Milliseconds for which the target had been sending events; undefined if none
   * had arrived.
   */
  readonly writingMs: number | undefined;
  /** Monotonic milliseconds, as all times here. */
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Whether the target broke the connection, and not this instance. */
  readonly isBroken: boolean;
  /** Whether a peer sent it and told this instance of its end. */
  readonly isOfPeer?: boolean;
}

/** A request that ended without a result, as peers are told of it. @public */
export interface SharedRun {
  /** Incarnation of the target. */
  readonly target: string;
  readonly fingerprint: string;
  /** When it ended, by the wall clock of the instance that sent it. */
  readonly endedAtMs: number;
  /** Whether events had arrived. */
  readonly hasProgressed: boolean;
}

/** What is known of one incarnation of a target. */
interface TargetHistory {
  /** Without those that were reported, in the order of their ends. */
  runs: EndedRun[];
  /** When it was last known to be alive. */
  aliveAtMs: number;
  /** When the latest request was sent that it began to answer. */
  answeredSentAtMs: number;
  /** When it was last known to be lost. */
  lostAtMs: number;
}

/** A target that is alive this long after a run ended did not crash under it. */
export const MAX_CRASH_DELAY_MS = 1500;
/** Longer than the platform keeps the registration of a silent target. @public */
export const RETENTION_MS = 10_000;
/** What is known of a target is dropped after this time without news. */
const IDLE_MS = 60_000;
/** Bounds the memory. */
const MAX_RUNS_PER_TARGET = 500;
const MAX_TARGETS = 2000;
const FORGET_INTERVAL_MS = 1000;
/** Bounds what a peer that starts is told. */
const MAX_RECENT = 200;

/**
 * The requests that ended at a target without a result, until it is known whether
 * the target lives on. A target may crash under a request whose caller has left,
 * whose deadline has passed or that was sent to another target meanwhile; no
 * connection shows that. When the target turns out to be lost, all requests that
 * were there shortly before it was last alive are suspects.
 *
 * @public
 */
export class UnresolvedRuns {
  /** By incarnation of a target; those that were added first come first. */
  private readonly targets = new Map<string, TargetHistory>();
  /** Number of runs by fingerprint. */
  private readonly counts = new Map<string, number>();
  private forgotAtMs = -Infinity;

  private constructor() {}

  static create(): UnresolvedRuns {
    return new UnresolvedRuns();
  }

  get isEmpty(): boolean {
    return this.counts.size === 0;
  }

  /**
   * Records that a target answered, or sent more of its answer.
   *
   * @param sentAtMs - when the request was sent that it answers
   */
  onAlive(target: string, sentAtMs: number, nowMs: number): void {
    const history = this.historyOf(target);
    history.aliveAtMs = nowMs;
    history.answeredSentAtMs = Math.max(history.answeredSentAtMs, sentAtMs);
  }

  /** Whether a target answered a request that was sent after a moment. */
  hasAnsweredSince(target: string, atMs: number): boolean {
    return (this.targets.get(target)?.answeredSentAtMs ?? -Infinity) > atMs;
  }

  /** Whether a target has been lost since a moment. */
  isLostSince(target: string, atMs: number): boolean {
    return (this.targets.get(target)?.lostAtMs ?? -Infinity) >= atMs;
  }

  /**
   * Whether a target has been lost since a request was sent to it. It has not if it
   * answered what was sent after the loss, whose report was false then.
   */
  wasLostUnder(target: string, sentAtMs: number): boolean {
    const lostAtMs = this.targets.get(target)?.lostAtMs ?? -Infinity;
    return lostAtMs >= sentAtMs && !this.hasAnsweredSince(target, lostAtMs);
  }

  hasRuns(target: string): boolean {
    return (this.targets.get(target)?.runs.length ?? 0) > 0;
  }

  add(target: string, run: EndedRun): void {
    this.forgetOld(run.endedAtMs);
    const history = this.historyOf(target);
    history.runs.push(run);
    this.count(run, 1);
    if (history.runs.length > MAX_RUNS_PER_TARGET) this.dropFirst(history, 1);
  }

  /**
   * Records that a target is lost. Returns the runs during which that may have
   * happened; they are reported once only.
   */
  takeLost(target: string, nowMs: number): EndedRun[] {
    const history = this.historyOf(target);
    history.lostAtMs = nowMs;
    const fromMs = Math.max(
      history.aliveAtMs - MAX_CRASH_DELAY_MS,
      nowMs - RETENTION_MS
    );
    const runs = history.runs.filter(run => run.endedAtMs >= fromMs);
    this.dropFirst(history, history.runs.length);
    return runs;
  }

  /** Drops what a target that leaves as planned was sent and did not break. */
  onLeft(target: string): void {
    const history = this.targets.get(target);
    if (history === undefined) return;
    const broken = history.runs.filter(({isBroken}) => isBroken);
    this.dropFirst(history, history.runs.length);
    history.runs = broken;
    for (const run of broken) this.count(run, 1);
  }

  /** The latest runs, with their targets, for peers that start. */
  recent(nowMs: number): [target: string, run: EndedRun][] {
    const recent: [string, EndedRun][] = [];
    for (const [target, {runs}] of this.targets) {
      for (const run of runs) {
        if (nowMs - run.endedAtMs < RETENTION_MS) recent.push([target, run]);
      }
    }
    recent.sort(([, a], [, b]) => b.endedAtMs - a.endedAtMs);
    return recent.slice(0, MAX_RECENT);
  }

  /**
   * Drops all runs of a request that ran to its end at some target. Returns
   * whether there were any.
   *
   * @param atMs - runs that ended later are kept
   */
  onCompleted(fingerprint: string, atMs = Infinity): boolean {
    if (!this.counts.has(fingerprint)) return false;
    for (const history of this.targets.values()) {
      const kept: EndedRun[] = [];
      for (const run of history.runs) {
        if (run.fingerprint === fingerprint && run.endedAtMs <= atMs) {
          this.count(run, -1);
        } else kept.push(run);
      }
      history.runs = kept;
    }
    return true;
  }

  /** Drops runs after which their target was alive, or that ended long ago. */
  forgetOld(nowMs: number): void {
    if (nowMs - this.forgotAtMs < FORGET_INTERVAL_MS) return;
    this.forgotAtMs = nowMs;
    for (const [target, history] of this.targets) {
      const {aliveAtMs, answeredSentAtMs, lostAtMs, runs} = history;
      const untilMs = Math.max(
        aliveAtMs - MAX_CRASH_DELAY_MS,
        nowMs - RETENTION_MS
      );
      const kept = runs.findIndex(({endedAtMs}) => endedAtMs >= untilMs);
      this.dropFirst(history, kept < 0 ? runs.length : kept);
      const newsAtMs = Math.max(aliveAtMs, answeredSentAtMs, lostAtMs);
      const isIdle = nowMs - newsAtMs > IDLE_MS;
      if (history.runs.length === 0 && isIdle) this.targets.delete(target);
    }
  }

  private historyOf(target: string): TargetHistory {
    const known = this.targets.get(target);
    if (known !== undefined) return known;
    const history: TargetHistory = {
      runs: [],
      aliveAtMs: -Infinity,
      answeredSentAtMs: -Infinity,
      lostAtMs: -Infinity,
    };
    this.targets.set(target, history);
    if (this.targets.size > MAX_TARGETS) this.evictFirst();
    return history;
  }

  private evictFirst(): void {
    for (const [target, history] of this.targets) {
      this.dropFirst(history, history.runs.length);
      this.targets.delete(target);
      return;
    }
  }

  private dropFirst(history: TargetHistory, count: number): void {
    for (const run of history.runs.splice(0, count)) this.count(run, -1);
  }

  private count({fingerprint}: EndedRun, change: number): void {
    const count = (this.counts.get(fingerprint) ?? 0) + change;
    if (count > 0) this.counts.set(fingerprint, count);
    else this.counts.delete(fingerprint);
  }
}
