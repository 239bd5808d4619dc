import {incarnationOf, UnresolvedRuns} from '@applebend/routing';
import {LossChecks} from './loss_checks.js';
import {RegisteredTargets} from './registered_targets.js';
import {checkTarget, TARGET_CHECK} from './target_check.js';

import type {EndedRun, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {StartTimer} from './loss_checks.js';
import type {TargetCheck} from './target_check.js';

/** How it became known that a target is lost. @public */
export const LOSS_SIGNAL = {
  /** Nothing listened at its address, after a connection broke. */
  check: 'check',
  /** It refused the connection of a request. */
  refused: 'refused',
  /** Another target answered at its address. */
  wrongTarget: 'wrong_target',
  /** Another target is registered at its address. */
  replaced: 'replaced',
  /** It is registered no more, and nothing answers at its address. */
  removed: 'removed',
  /** A peer noticed it. */
  peer: 'peer',
} as const;

/** @public */
export type LossSignal = (typeof LOSS_SIGNAL)[keyof typeof LOSS_SIGNAL];

/** A lost target and the requests during which it may have been lost. @public */
export interface LostTarget {
  /** As `incarnationOf` names it. */
  readonly incarnation: string;
  readonly signal: LossSignal;
  readonly suspects: readonly EndedRun[];
  /** Whether the loss was not known yet. */
  readonly isNews: boolean;
}

/** @public */
export interface LossDetectorOptions {
  readonly log: Logger;
  readonly nowMs: () => number;
  /** Whether an incarnation of a target is known to be leaving. */
  readonly isLeaving: (incarnation: string) => boolean;
  /** Called with each lost target, again if more suspects become known. */
  readonly onLost: (lost: LostTarget) => void;
  /** Called with each run that ended without a result. */
  readonly onUnresolved?: (incarnation: string, run: EndedRun) => void;
  /** Called with the result of each check. */
  readonly onCheckResult: (result: TargetCheck) => void;
  readonly checkTarget?: (target: Target) => Promise<TargetCheck>;
  readonly startTimer?: StartTimer;
}

/** Reports of the loss of one incarnation within this time are no news. */
const SAME_LOSS_MS = 3000;

/**
 * Notices that targets are lost, by all that shows it: connections that break or
 * are refused, registrations, and peers. Finds the requests that were there
 * lately, also those that are not connected any more.
 *
 * @public
 */
export class LossDetector {
  private readonly runs = UnresolvedRuns.create();
  private readonly registered = RegisteredTargets.create();
  private readonly checks: LossChecks;
  private readonly checkTarget: (target: Target) => Promise<TargetCheck>;

  private constructor(private readonly options: LossDetectorOptions) {
    const {nowMs, startTimer = startUnrefTimer} = options;
    this.checkTarget = options.checkTarget ?? checkTarget;
    this.checks = LossChecks.create({
      checkTarget: this.checkTarget,
      startTimer,
      nowMs,
      hasAnsweredSince: (incarnation, atMs) =>
        this.runs.hasAnsweredSince(incarnation, atMs),
      onChecked: (target, result) => this.onChecked(target, result),
    });
  }

  static create(options: LossDetectorOptions): LossDetector {
    return new LossDetector(options);
  }

  /** Whether the end of some request is not resolved yet. */
  get hasRuns(): boolean {
    return !this.runs.isEmpty;
  }

  /**
   * Called when a request ended at a target without a result. Resolves when the
   * target has been checked once, if it broke the connection.
   */
  onRunEnded(target: Target, run: EndedRun): Promise<void> {
    const incarnation = incarnationOf(target);
    this.runs.add(incarnation, run);
    if (this.runs.wasLostUnder(incarnation, run.sentAtMs)) {
      this.reportLost(incarnation, LOSS_SIGNAL.check);
      return Promise.resolve();
    }
    this.options.onUnresolved?.(incarnation, run);
    return run.isBroken ? this.checks.onBroken(target) : Promise.resolve();
  }

  /** Called when a target answers a request, or goes on with its answer. */
  onAlive(incarnation: string, sentAtMs: number, nowMs: number): void {
    this.runs.onAlive(incarnation, sentAtMs, nowMs);
  }

  /** Called when a peer told that its request ended without a result. */
  onPeerRun(incarnation: string, run: EndedRun): void {
    this.runs.add(incarnation, run);
    if (this.runs.isLostSince(incarnation, run.sentAtMs)) {
      this.reportLost(incarnation, LOSS_SIGNAL.peer);
    }
  }

  /** What ended without a result lately, for peers that start. */
  recentRuns(): [incarnation: string, run: EndedRun][] {
    return this.runs.recent(this.options.nowMs());
  }

  /**
   * Called when a request ran to its end, so it crashes no target. Returns
   * whether it had ended without a result lately.
   */
  onCompleted(fingerprint: string, atMs?: number): boolean {
    return this.runs.onCompleted(fingerprint, atMs);
  }

  /** Called when a target refused the connection of a request. */
  onRefused(target: Target): void {
    this.reportLost(incarnationOf(target), LOSS_SIGNAL.refused);
  }

  /** Called when another target answered at a target's address. */
  onWrongTarget(target: Target): void {
    this.reportLost(incarnationOf(target), LOSS_SIGNAL.wrongTarget);
  }

  /** Called when a peer told that a target is lost, which it repeats. */
  onPeerLoss(incarnation: string): void {
    if (this.isKnownLost(incarnation)) return;
    this.reportLost(incarnation, LOSS_SIGNAL.peer);
  }

  /** Called with all targets that are registered now. */
  onTargets(targets: Iterable<Target>): void {
    const {replaced, removed} = this.registered.apply(targets);
    for (const target of replaced) {
      this.reportLost(incarnationOf(target), LOSS_SIGNAL.replaced);
    }
    for (const target of removed) {
      if (this.runs.hasRuns(incarnationOf(target))) {
        void this.checkRemoved(target);
      }
    }
  }

  private isKnownLost(incarnation: string): boolean {
    const sinceMs = this.options.nowMs() - SAME_LOSS_MS;
    return this.runs.isLostSince(incarnation, sinceMs);
  }

  /** A target that is removed as planned serves on for some time. */
  private async checkRemoved(target: Target): Promise<void> {
    const incarnation = incarnationOf(target);
    const result = await this.checkTarget(target);
    this.logCheck(target, result);
    if (result === TARGET_CHECK.accepted) this.runs.onLeft(incarnation);
    else this.reportLost(incarnation, LOSS_SIGNAL.removed);
  }

  private onChecked(target: Target, result: TargetCheck): void {
    this.logCheck(target, result);
    if (result !== TARGET_CHECK.refused) return;
    this.reportLost(incarnationOf(target), LOSS_SIGNAL.check);
  }

  private logCheck({id, service}: Target, result: TargetCheck): void {
    this.options.onCheckResult(result);
    this.options.log.info('target checked', {target: id, service, result});
  }

  private reportLost(incarnation: string, signal: LossSignal): void {
    const {nowMs, isLeaving, onLost} = this.options;
    const isNews = !this.isKnownLost(incarnation);
    const runs = this.runs.takeLost(incarnation, nowMs());
    // A leaving target ends as planned; what was aborted there is no suspect.
    const counted = isLeaving(incarnation)
      ? runs.filter(({isBroken}) => isBroken)
      : runs;
    const suspects = leastAdvanced(counted);
    if (isNews || suspects.length > 0) {
      onLost({incarnation, signal, suspects, isNews});
    }
  }
}

/** Of several runs of a request, the one that got least far is suspected most. */
function leastAdvanced(runs: readonly EndedRun[]): EndedRun[] {
  const byFingerprint = new Map<string, EndedRun>();
  for (const run of runs) {
    const other = byFingerprint.get(run.fingerprint);
    const isBehind = (run.writingMs ?? -1) < (other?.writingMs ?? Infinity);
    if (isBehind) byFingerprint.set(run.fingerprint, run);
  }
  return [...byFingerprint.values()];
}

function startUnrefTimer(callback: () => void, delayMs: number): void {
  setTimeout(callback, delayMs).unref();
}
