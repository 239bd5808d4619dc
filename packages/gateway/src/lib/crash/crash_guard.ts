import {CrashTracker} from '@applebend/routing';
import {isTargetLost} from './target_check.js';

import type {Quarantine, Target, TargetLoss} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

/** Called with the losses of one target that this instance observed. @public */
export type LossListener = (losses: readonly TargetLoss[]) => void;

/** Called with a quarantine to which this instance contributed a loss. @public */
export type QuarantineListener = (quarantine: Quarantine) => void;

/** A request that a target was running when its connection broke. @public */
export interface BrokenRun {
  readonly fingerprint: string;
  /** Ids of the blocks of its prompt that other requests may have, too. */
  readonly blocks: readonly string[];
  /**
   * Milliseconds since the first event from that target; undefined if none had
   * arrived.
   */
  readonly writingMs: number | undefined;
}

/** A check of a target, and the requests that it lost meanwhile. */
interface PendingCheck {
  readonly ended: Promise<void>;
  /** By fingerprint. */
  readonly running: Map<string, BrokenRun>;
}

/** Bounds the memory. */
const MAX_OBSERVED = 20_000;

const TRACKER_OPTIONS = {
  suspicionMs: 10 * 60_000,
  firstQuarantineMs: 10 * 60_000,
  maxQuarantineMs: 24 * 60 * 60_000,
} as const;

/**
 * Keeps requests that crash targets from reaching further ones. A request is
 * suspected if its connection broke and its target is lost; the peers hear of
 * each such loss, and the second one puts the request in quarantine.
 *
 * @public
 */
export class CrashGuard {
  private readonly tracker = CrashTracker.create(TRACKER_OPTIONS);
  /** Checks in progress, by target. */
  private readonly checks = new Map<string, PendingCheck>();
  /** Fingerprints of which this instance observed a loss. */
  private readonly observed = new Set<string>();
  onLosses: LossListener = () => undefined;
  onQuarantined: QuarantineListener = () => undefined;

  private constructor(
    private readonly log: Logger,
    private readonly clock: Clock,
    private readonly isLost: (target: Target) => Promise<boolean>
  ) {}

  /** @param isLost - whether a target whose connection broke is lost */
  static create(
    log: Logger,
    clock: Clock,
    isLost: (target: Target) => Promise<boolean> = isTargetLost
  ): CrashGuard {
    return new CrashGuard(log, clock, isLost);
  }

  /** Whether no request is suspected of anything. */
  get isEmpty(): boolean {
    return this.tracker.isEmpty(this.nowMs);
  }

  /** Milliseconds until a request may run; 0 if it may run now. */
  quarantineLeftMs(fingerprint: string): number {
    return this.tracker.quarantineLeftMs(fingerprint, this.nowMs);
  }

  /** The requests in quarantine, for peers that start. */
  quarantines(): Quarantine[] {
    return this.tracker.quarantines(this.nowMs);
  }

  /** Losses that led to no quarantine yet, for peers that start. */
  suspectedLosses(): TargetLoss[] {
    return this.tracker.suspectedLosses(this.nowMs);
  }

  /**
   * Called when the connection of a request broke. Resolves when it is known
   * whether the target is lost.
   */
  onReset(target: Target, run: BrokenRun): Promise<void> {
    const key = incarnationOf(target);
    const pending = this.checks.get(key) ?? this.startCheck(target, key);
    const copy = pending.running.get(run.fingerprint);
    // Of two copies of a request, the one that got less far is suspected more.
    const isFirst = copy === undefined || isBehind(run, copy);
    if (isFirst) pending.running.set(run.fingerprint, run);
    return pending.ended;
  }

  onServed(fingerprint: string): void {
    this.tracker.onCompleted(fingerprint, this.nowMs);
  }

  /** Records a loss that a peer observed. */
  onPeerLoss(loss: TargetLoss): void {
    this.record(loss);
  }

  /** Records a quarantine that was imposed elsewhere or before a restart. */
  onQuarantine(quarantine: Quarantine): void {
    if (!this.tracker.onQuarantine(quarantine, this.nowMs)) return;
    this.log.warn('request quarantined', {...quarantine});
  }

  private get nowMs(): number {
    return this.clock.monotonicMs();
  }

  private startCheck(target: Target, key: string): PendingCheck {
    const running = new Map<string, BrokenRun>();
    const ended = this.check(target, key, running);
    const pending = {ended, running};
    this.checks.set(key, pending);
    return pending;
  }

  private async check(
    target: Target,
    key: string,
    running: ReadonlyMap<string, BrokenRun>
  ): Promise<void> {
    const isLost = await this.isLost(target);
    this.checks.delete(key);
    if (!isLost) return;
    const {id, service} = target;
    const runs = [...running.values()];
    this.log.warn('target lost', {
      target: id,
      service,
      running: [...running.keys()],
      writingMs: runs.map(run => run.writingMs ?? null),
      blocks: blockCounts(runs),
    });
    const seenAtMs = this.clock.wallMs();
    const losses = runs.map(({fingerprint, writingMs}) => ({
      fingerprint,
      target: key,
      seenAtMs,
      hasProgressed: writingMs !== undefined,
    }));
    for (const loss of losses) {
      this.addObserved(loss.fingerprint);
      this.record(loss);
    }
    this.onLosses(losses);
  }

  private record(loss: TargetLoss): void {
    const {fingerprint} = loss;
    const {nowMs} = this;
    if (!this.tracker.onLoss(loss, nowMs)) return;
    const quarantine = this.tracker.quarantineOf(fingerprint, nowMs);
    if (quarantine === undefined) return;
    this.log.warn('request quarantined', {...quarantine});
    if (this.observed.has(fingerprint)) this.onQuarantined(quarantine);
  }

  private addObserved(fingerprint: string): void {
    if (this.observed.size >= MAX_OBSERVED) this.observed.clear();
    this.observed.add(fingerprint);
  }
}

function isBehind(run: BrokenRun, other: BrokenRun): boolean {
  return (run.writingMs ?? -1) < (other.writingMs ?? -1);
}

/** How many of the requests have each block. */
function blockCounts(runs: readonly BrokenRun[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const block of runs.flatMap(run => run.blocks)) {
    counts[block] = (counts[block] ?? 0) + 1;
  }
  return counts;
}

/** Names one incarnation of a target. */
function incarnationOf({id, startedAtMs}: Target): string {
  return `${id} ${startedAtMs}`;
}
