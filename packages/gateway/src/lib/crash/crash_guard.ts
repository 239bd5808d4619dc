import {CrashTracker, isBlockKey} from '@applebend/routing';
import {CompletedRequests} from './completed_requests.js';
import {LOSS_SIGNAL, LossDetector} from './loss_detector.js';
import {endedRunOf, sharedRunOf} from './shared_run.js';

import type {
  Survival,
  EndedRun,
  Quarantine,
  SharedRun,
  Target,
  TargetLoss,
} from '@applebend/routing';
import type {Clock} from '@applebend/utils';
import type {LossDetectorOptions, LostTarget} from './loss_detector.js';
import type {TargetCheck} from './target_check.js';

/** What this instance found out of a lost target. @public */
export interface ObservedLoss {
  /** As `incarnationOf` names it. */
  readonly target: string;
  /** Losses under requests of this instance; there may be none. */
  readonly losses: readonly TargetLoss[];
  /** Whether this instance noticed it first, as far as it knows. */
  readonly isNews: boolean;
}

/** Called when this instance found out more of a lost target. @public */
export type LossListener = (loss: ObservedLoss) => void;

/**
 * Called with a quarantine to which this instance contributed a loss. It is over
 * if no time is left.
 *
 * @public
 */
export type QuarantineListener = (quarantine: Quarantine) => void;

/** Called with requests and blocks that ran and that peers may suspect. @public */
export type SurvivalListener = (survivals: readonly Survival[]) => void;

/** Called with each run that ended without a result. @public */
export type UnresolvedListener = (run: SharedRun) => void;

/** Called with what a check of a target found. @public */
export type CheckResultListener = (result: TargetCheck) => void;

/** @public */
export interface CrashGuardOptions extends Pick<
  LossDetectorOptions,
  'log' | 'isLeaving' | 'checkTarget' | 'startTimer'
> {
  readonly clock: Clock;
  /** Called with each incarnation whose loss was not known yet. */
  readonly onTargetLost?: (incarnation: string) => void;
}

/** A target that has written for this long did not crash under the request. */
export const SURVIVAL_MS = 1500;
/** What crashes a target does so soon after the target began to write. */
const CRASH_WITHIN_MS = 600;
/** Bounds the memory. */
const MAX_OBSERVED = 20_000;
/** Bounds a message to peers; prompts have few blocks. */
const MAX_BLOCKS = 16;

const TRACKER_OPTIONS = {
  suspicionMs: 10 * 60_000,
  firstQuarantineMs: 10 * 60_000,
  maxQuarantineMs: 24 * 60 * 60_000,
} as const;

/**
 * Keeps requests that crash targets from reaching further ones. A request is
 * suspected if it was at a lost target without a result; the peers hear of
 * each such loss, and the second one puts the request in quarantine. So are the
 * blocks of its prompt, which the peers clear that have seen them run; a block
 * that several lost targets have in common is put in quarantine by itself.
 *
 * @public
 */
export class CrashGuard {
  private readonly tracker = CrashTracker.create(TRACKER_OPTIONS);
  private readonly detector: LossDetector;
  /** Fingerprints and blocks of which this instance observed a loss. */
  private readonly observed = new Set<string>();
  /** Those of which the peers were told. */
  private readonly completed = CompletedRequests.create();
  onLosses: LossListener = () => undefined;
  onQuarantined: QuarantineListener = () => undefined;
  onSurvivals: SurvivalListener = () => undefined;
  onUnresolved: UnresolvedListener = () => undefined;
  onCheckResult: CheckResultListener = () => undefined;

  private constructor(private readonly options: CrashGuardOptions) {
    this.detector = LossDetector.create({
      ...options,
      nowMs: () => this.nowMs,
      onLost: lost => this.onLost(lost),
      onUnresolved: (incarnation, run) =>
        this.onUnresolved(sharedRunOf(incarnation, run, options.clock)),
      onCheckResult: result => this.onCheckResult(result),
    });
  }

  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Whether nothing is suspected. */
  get isEmpty(): boolean {
    return this.tracker.isEmpty(this.nowMs);
  }

  /**
   * Milliseconds until a request, or a prompt with a block, may run; 0 if it may
   * run now.
   *
   * @param key - a fingerprint, or the key of a block
   */
  quarantineLeftMs(key: string): number {
    this.quarantineBlocks();
    return this.tracker.quarantineLeftMs(key, this.nowMs);
  }

  /** All quarantines, for peers that start. */
  quarantines(): Quarantine[] {
    this.quarantineBlocks();
    return this.tracker.quarantines(this.nowMs);
  }

  /** The quarantines to which this instance contributed a loss. */
  ownQuarantines(): Quarantine[] {
    return this.quarantines().filter(({fingerprint}) =>
      this.observed.has(fingerprint)
    );
  }

  /** Losses that led to no quarantine yet, for peers that start. */
  suspectedLosses(): TargetLoss[] {
    return this.tracker.suspectedLosses(this.nowMs);
  }

  /** When suspected blocks last ran, for peers that start. */
  suspectSurvivals(): Survival[] {
    const {nowMs} = this;
    const suspects = this.tracker.suspectSurvivals(nowMs);
    return [...suspects, ...this.completed.recent(nowMs)];
  }

  /** Whether any request is suspected, or ended without a result lately. */
  get knowsAnyRequest(): boolean {
    return this.detector.hasRuns || !this.isEmpty;
  }

  /** See `LossDetector`. */
  onRunEnded(target: Target, run: EndedRun): Promise<void> {
    return this.detector.onRunEnded(target, run);
  }

  /** See `LossDetector`. */
  onTargetAlive(incarnation: string, sentAtMs: number, nowMs: number): void {
    this.detector.onAlive(incarnation, sentAtMs, nowMs);
  }

  /** Called when a target refused the connection of a request. */
  onRefused(target: Target): void {
    this.detector.onRefused(target);
  }

  /** Called when another target answered at a target's address. */
  onWrongTarget(target: Target): void {
    this.detector.onWrongTarget(target);
  }

  /** Called when a peer told that an incarnation of a target is lost. */
  onPeerTargetLost(incarnation: string): void {
    this.detector.onPeerLoss(incarnation);
  }

  /** Called with all targets that are registered now. */
  onTargets(targets: Iterable<Target>): void {
    this.detector.onTargets(targets);
  }

  onServed(fingerprint: string): void {
    const wasUnresolved = this.detector.onCompleted(fingerprint);
    const wasSuspect = this.tracker.onCompleted(fingerprint, this.nowMs);
    if (!wasSuspect && !wasUnresolved) return;
    this.completed.add(fingerprint, this.nowMs);
    this.onSurvivals([{key: fingerprint, ageMs: 0}]);
  }

  /** Records that a target wrote on some blocks and lives on. */
  onBlocksRan(blocks: readonly string[]): void {
    const {nowMs} = this;
    for (const block of blocks) {
      if (this.tracker.onBlockRan(block, nowMs)) this.onReleased(block);
    }
    this.shareSurvivals(blocks);
  }

  /** Records that a request of a peer ended without a result. */
  onPeerRun(run: SharedRun): void {
    const ended = endedRunOf(run, this.options.clock);
    const {fingerprint, endedAtMs} = ended;
    // Its end may become known after a later attempt ran to its end.
    if (this.tracker.hasCompletedSince(fingerprint, endedAtMs)) return;
    this.detector.onPeerRun(run.target, ended);
  }

  /** What ended without a result lately, for peers that start. */
  recentRuns(): SharedRun[] {
    const runs = this.detector.recentRuns();
    const {clock} = this.options;
    return runs.map(([target, run]) => sharedRunOf(target, run, clock));
  }

  /** Records a loss that a peer observed. */
  onPeerLoss(loss: TargetLoss): void {
    const ageMs = this.options.clock.wallMs() - loss.seenAtMs;
    this.record(loss, ageMs);
    this.shareSurvivals(loss.blocks ?? []);
  }

  /** Records that a block, or a suspected request, ran at a peer. */
  onPeerSurvival({key, ageMs}: Survival): void {
    const isReleased = isBlockKey(key)
      ? this.tracker.onBlockRan(key, this.nowMs, ageMs, true)
      : this.onCompletedElsewhere(key, ageMs);
    if (isReleased) this.onReleased(key);
  }

  /** Returns whether the request is in quarantine no more. */
  private onCompletedElsewhere(fingerprint: string, ageMs: number): boolean {
    const {nowMs} = this;
    this.detector.onCompleted(fingerprint, nowMs - ageMs);
    this.completed.add(fingerprint, nowMs - ageMs);
    return this.tracker.onCompletedElsewhere(fingerprint, nowMs, ageMs);
  }

  /** Records a quarantine that was imposed elsewhere or before a restart. */
  onQuarantine(quarantine: Quarantine): void {
    if (!this.tracker.onQuarantine(quarantine, this.nowMs)) return;
    this.options.log.warn('request quarantined', {...quarantine});
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  private onLost({incarnation, signal, suspects, isNews}: LostTarget): void {
    this.options.log.warn('target lost', {
      target: incarnation,
      signal,
      running: suspects.map(run => run.fingerprint),
      connected: suspects.filter(({isBroken}) => isBroken).length,
      writingMs: suspects.map(run => run.writingMs ?? null),
      blocks: blockCounts(suspects),
    });
    if (isNews) this.options.onTargetLost?.(incarnation);
    const losses: TargetLoss[] = [];
    for (const run of suspects) {
      const ageMs = this.nowMs - run.endedAtMs;
      const loss = this.lossOf(run, incarnation, ageMs);
      // Each peer that was told of a run finds its loss.
      if (run.isOfPeer !== true) {
        losses.push(loss);
        this.addObserved(loss);
      }
      this.record(loss, ageMs);
      this.shareSurvivals(loss.blocks ?? []);
    }
    const isOwn = signal !== LOSS_SIGNAL.peer;
    this.onLosses({target: incarnation, losses, isNews: isNews && isOwn});
  }

  /** @param ageMs - time since the end of the run, the earliest time of the loss */
  private lossOf(
    {fingerprint, blocks, writingMs, endedAtMs}: EndedRun,
    target: string,
    ageMs: number
  ): TargetLoss {
    const hasProgressed = writingMs !== undefined;
    const isSuspect = (writingMs ?? 0) < CRASH_WITHIN_MS;
    const suspects = blocks.filter(
      block => isSuspect && !this.tracker.hasJustRun(block, endedAtMs)
    );
    return {
      fingerprint,
      target,
      seenAtMs: this.options.clock.wallMs() - ageMs,
      hasProgressed,
      blocks: suspects.slice(-MAX_BLOCKS),
    };
  }

  private record(loss: TargetLoss, ageMs: number): void {
    const {fingerprint} = loss;
    const {nowMs} = this;
    if (!this.tracker.onLoss(loss, nowMs, ageMs)) return;
    const quarantine = this.tracker.quarantineOf(fingerprint, nowMs);
    if (quarantine !== undefined) this.reportQuarantine(quarantine);
  }

  /** Puts blocks in quarantine whose evidence has settled. */
  private quarantineBlocks(): void {
    for (const quarantine of this.tracker.quarantineBlocks(this.nowMs)) {
      this.reportQuarantine(quarantine);
    }
  }

  private reportQuarantine(quarantine: Quarantine): void {
    this.options.log.warn('request quarantined', {...quarantine});
    if (this.observed.has(quarantine.fingerprint)) {
      this.onQuarantined(quarantine);
    }
  }

  /** What ran does not crash targets, so its quarantine ends. */
  private onReleased(key: string): void {
    this.options.log.info('quarantine ended', {fingerprint: key});
    if (!this.observed.has(key)) return;
    this.onQuarantined({fingerprint: key, losses: 1, leftMs: 0});
  }

  /** Tells the peers which of some blocks have run that they suspect. */
  private shareSurvivals(blocks: readonly string[]): void {
    const survivals = this.tracker.takeSurvivalNews(blocks, this.nowMs);
    if (survivals.length > 0) this.onSurvivals(survivals);
  }

  private addObserved({fingerprint, blocks = []}: TargetLoss): void {
    if (this.observed.size >= MAX_OBSERVED) this.observed.clear();
    for (const key of [fingerprint, ...blocks]) this.observed.add(key);
  }
}

/** How many of the requests have each block. */
function blockCounts(runs: readonly EndedRun[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const block of runs.flatMap(run => run.blocks)) {
    counts[block] = (counts[block] ?? 0) + 1;
  }
  return counts;
}
