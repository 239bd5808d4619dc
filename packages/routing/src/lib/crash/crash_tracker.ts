/**
 * Whether requests with one fingerprint are suspected of crashing targets.
 *
 * @public
 */
export const CRASH_STATUS = {
  /** No loss and no completed run is known. */
  fresh: 'fresh',
  /** A run completed, and no target was lost to it since. */
  cleared: 'cleared',
  /** Was running at a loss of a target, and has not completed since. */
  suspect: 'suspect',
  /** Was running at two or more losses of targets; must not run now. */
  quarantined: 'quarantined',
} as const;

/** @public */
export type CrashStatus = (typeof CRASH_STATUS)[keyof typeof CRASH_STATUS];

/** A request that was running on a target when the target was lost. @public */
export interface TargetLoss {
  readonly fingerprint: string;
  readonly target: string;
  /** When the loss was observed, by the wall clock of the observer. */
  readonly seenAtMs: number;
  /** Whether the target had already responded with a part of a stream. */
  readonly hasProgressed?: boolean;
}

/** A fingerprint that must not run for some time. @public */
export interface Quarantine {
  readonly fingerprint: string;
  /** Number of targets that were lost under it; some count half. */
  readonly losses: number;
  /** Milliseconds until one copy may be tried again. */
  readonly leftMs: number;
}

/** How long what is known is in force; by default for good. @public */
export interface CrashTrackerOptions {
  /** Milliseconds after which the losses of a suspect no longer count. */
  readonly suspicionMs: number;
  /** Milliseconds of the first quarantine of a fingerprint. */
  readonly firstQuarantineMs: number;
  /** Limit for the later ones, each of which is longer than the one before. */
  readonly maxQuarantineMs: number;
}

interface RecordedLoss {
  /** When the loss was observed, by the wall clock of the observer. */
  readonly seenAtMs: number;
  /** When the report arrived, by this instance's monotonic clock. */
  readonly recordedAtMs: number;
  readonly hasProgressed: boolean;
}

interface LossHistory {
  /** Number of different losses; some count half. */
  losses: number;
  /** The latest loss of each target. */
  readonly lastLosses: Map<string, RecordedLoss>;
  /** By this instance's monotonic clock. */
  quarantinedUntilMs: number;
  /** When it no longer counts, by the same clock. */
  forgottenAtMs: number;
}

const LOSSES_TO_QUARANTINE = 2;
/** A request that crashes targets rarely gets that far. */
const LOSS_AFTER_PROGRESS = 0.5;
/** Each quarantine of a fingerprint lasts this many times the one before. */
const QUARANTINE_GROWTH = 4;
/** Bounds the memory; the fingerprints recorded first are evicted first. */
const MAX_FINGERPRINTS = 20_000;
/** Age and number of the losses that are passed on to a peer that starts. */
const RECENT_MS = 120_000;
const MAX_RECENT = 200;
/** Reports about one target within this time are about the same loss. */
const SAME_LOSS_MS = 10_000;
/** Least time between two searches for what no longer counts. */
const FORGET_INTERVAL_MS = 1000;

const PERMANENT: CrashTrackerOptions = {
  suspicionMs: Infinity,
  firstQuarantineMs: Infinity,
  maxQuarantineMs: Infinity,
};

/**
 * Counts, per request fingerprint, the losses of targets that were running the
 * request. Two losses put the fingerprint in quarantine; a loss after a part of
 * a stream counts half, since a harmless stream may be cut more than once. After
 * a quarantine it is a suspect again, and the next loss begins a longer one. The
 * owner sets when losses and quarantines are forgotten.
 *
 * @public
 */
export class CrashTracker {
  /** Fingerprints with fewer losses than a quarantine takes. */
  private readonly suspects = new Map<string, LossHistory>();
  /** Fingerprints that are, or once were, in quarantine. */
  private readonly quarantined = new Map<string, LossHistory>();
  private readonly cleared = new Set<string>();
  private forgotAtMs = -Infinity;

  private constructor(private readonly options: CrashTrackerOptions) {}

  static create(options: CrashTrackerOptions = PERMANENT): CrashTracker {
    return new CrashTracker(options);
  }

  /** Whether no loss is known that still counts. */
  isEmpty(nowMs: number): boolean {
    this.forgetOld(nowMs);
    return this.suspects.size + this.quarantined.size === 0;
  }

  statusOf(fingerprint: string, nowMs: number): CrashStatus {
    if (this.quarantineLeftMs(fingerprint, nowMs) > 0) {
      return CRASH_STATUS.quarantined;
    }
    if (this.historyOf(fingerprint) !== undefined) return CRASH_STATUS.suspect;
    return this.cleared.has(fingerprint)
      ? CRASH_STATUS.cleared
      : CRASH_STATUS.fresh;
  }

  /** Milliseconds until a fingerprint may run; 0 if it is not quarantined. */
  quarantineLeftMs(fingerprint: string, nowMs: number): number {
    const untilMs = this.quarantined.get(fingerprint)?.quarantinedUntilMs;
    return Math.max(0, (untilMs ?? nowMs) - nowMs);
  }

  /** The fingerprints that are in quarantine now. */
  quarantines(nowMs: number): Quarantine[] {
    const fingerprints = [...this.quarantined.keys()];
    return fingerprints.flatMap(hash => this.quarantineOf(hash, nowMs) ?? []);
  }

  /** Returns undefined if a fingerprint is not in quarantine now. */
  quarantineOf(fingerprint: string, nowMs: number): Quarantine | undefined {
    const leftMs = this.quarantineLeftMs(fingerprint, nowMs);
    const history = this.quarantined.get(fingerprint);
    if (leftMs === 0 || history === undefined) return undefined;
    return {fingerprint, losses: history.losses, leftMs};
  }

  /** The losses of the last minutes that led to no quarantine. */
  suspectedLosses(nowMs: number): TargetLoss[] {
    const recent: TargetLoss[] = [];
    for (const [fingerprint, {lastLosses}] of this.suspects) {
      for (const [target, loss] of lastLosses) {
        const {seenAtMs, recordedAtMs, hasProgressed} = loss;
        if (nowMs - recordedAtMs > RECENT_MS) continue;
        recent.push({fingerprint, target, seenAtMs, hasProgressed});
      }
    }
    return recent.slice(-MAX_RECENT);
  }

  /** Whether this target was recently lost while it ran the fingerprint. */
  hasRecentLossOn(fingerprint: string, target: string, nowMs: number): boolean {
    const known = this.historyOf(fingerprint)?.lastLosses.get(target);
    return known !== undefined && nowMs - known.recordedAtMs < SAME_LOSS_MS;
  }

  /**
   * Records a loss. Several reports of the same loss count once. Returns whether
   * the report is news.
   */
  onLoss(loss: TargetLoss, nowMs: number): boolean {
    const {fingerprint, target, seenAtMs, hasProgressed = false} = loss;
    this.forgetOld(nowMs);
    const history = this.historyOf(fingerprint) ?? createHistory();
    const known = history.lastLosses.get(target);
    if (known !== undefined && isSameLoss(known, seenAtMs)) return false;
    history.losses += hasProgressed ? LOSS_AFTER_PROGRESS : 1;
    const recorded = {seenAtMs, recordedAtMs: nowMs, hasProgressed};
    history.lastLosses.set(target, recorded);
    history.forgottenAtMs = nowMs + this.options.suspicionMs;
    this.cleared.delete(fingerprint);
    if (history.losses < LOSSES_TO_QUARANTINE) {
      addBounded(this.suspects, fingerprint, history);
      return true;
    }
    history.quarantinedUntilMs = nowMs + this.quarantineMs(history.losses);
    this.addQuarantined(fingerprint, history);
    return true;
  }

  /**
   * Records a quarantine that was imposed elsewhere, or before a restart.
   * Returns whether it is news.
   */
  onQuarantine(
    {fingerprint, losses, leftMs}: Quarantine,
    nowMs: number
  ): boolean {
    const history = this.historyOf(fingerprint) ?? createHistory();
    const isNews = this.quarantineLeftMs(fingerprint, nowMs) === 0;
    const untilMs = nowMs + Math.min(leftMs, this.options.maxQuarantineMs);
    history.losses = Math.max(history.losses, losses, LOSSES_TO_QUARANTINE);
    history.quarantinedUntilMs = Math.max(history.quarantinedUntilMs, untilMs);
    this.addQuarantined(fingerprint, history);
    return isNews;
  }

  /** Clears a fingerprint that ran to completion, unless quarantined. */
  onCompleted(fingerprint: string, nowMs: number): void {
    if (this.quarantineLeftMs(fingerprint, nowMs) > 0) return;
    this.suspects.delete(fingerprint);
    this.quarantined.delete(fingerprint);
    this.cleared.add(fingerprint);
    if (this.cleared.size > MAX_FINGERPRINTS) evictOldest(this.cleared);
  }

  private historyOf(fingerprint: string): LossHistory | undefined {
    return this.suspects.get(fingerprint) ?? this.quarantined.get(fingerprint);
  }

  private addQuarantined(fingerprint: string, history: LossHistory): void {
    const {maxQuarantineMs} = this.options;
    history.forgottenAtMs = history.quarantinedUntilMs + maxQuarantineMs;
    this.suspects.delete(fingerprint);
    addBounded(this.quarantined, fingerprint, history);
  }

  private forgetOld(nowMs: number): void {
    if (nowMs - this.forgotAtMs < FORGET_INTERVAL_MS) return;
    this.forgotAtMs = nowMs;
    for (const histories of [this.suspects, this.quarantined]) {
      for (const [fingerprint, {forgottenAtMs}] of histories) {
        if (nowMs >= forgottenAtMs) histories.delete(fingerprint);
      }
    }
  }

  private quarantineMs(losses: number): number {
    const {firstQuarantineMs, maxQuarantineMs} = this.options;
    const earlier = Math.floor(losses - LOSSES_TO_QUARANTINE);
    const quarantineMs = firstQuarantineMs * QUARANTINE_GROWTH ** earlier;
    return Math.min(maxQuarantineMs, quarantineMs);
  }
}

function createHistory(): LossHistory {
  return {
    losses: 0,
    lastLosses: new Map(),
    quarantinedUntilMs: -Infinity,
    forgottenAtMs: -Infinity,
  };
}

function isSameLoss(known: RecordedLoss, seenAtMs: number): boolean {
  return Math.abs(seenAtMs - known.seenAtMs) < SAME_LOSS_MS;
}

function addBounded(
  histories: Map<string, LossHistory>,
  fingerprint: string,
  history: LossHistory
): void {
  histories.set(fingerprint, history);
  if (histories.size > MAX_FINGERPRINTS) evictOldest(histories);
}

function evictOldest(collection: Map<string, unknown> | Set<string>): void {
  for (const key of collection.keys()) {
    collection.delete(key);
    return;
  }
}
