import {incarnationOf} from '@applebend/routing';
import {TARGET_CHECK} from './target_check.js';

import type {Target} from '@applebend/routing';
import type {TargetCheck} from './target_check.js';

/** Calls back after a delay. */
export type StartTimer = (callback: () => void, delayMs: number) => void;

/** @internal */
export interface LossCheckOptions {
  readonly checkTarget: (target: Target) => Promise<TargetCheck>;
  readonly startTimer: StartTimer;
  readonly nowMs: () => number;
  /** Whether a target answered a request that was sent after a moment. */
  readonly hasAnsweredSince: (incarnation: string, atMs: number) => boolean;
  /** Called with the result of each check. */
  readonly onChecked: (target: Target, result: TargetCheck) => void;
}

/** The checks of one target after one of its connections broke. */
interface CheckSeries {
  readonly target: Target;
  readonly brokenAtMs: number;
  /** Number of checks that ended. */
  checks: number;
}

/**
 * Pauses between the checks of a target. One that ends may accept connections
 * for some time after it broke the others.
 */
const PAUSES_MS = [100, 200, 700, 1500];

/**
 * Checks whether targets are lost whose connections broke: at once, for all
 * requests that were running there together, and again later until the target is
 * known to be lost or answers.
 *
 * @internal
 */
export class LossChecks {
  /** The latest series of each target, by incarnation. */
  private readonly series = new Map<string, CheckSeries>();
  /** Checks in progress, by incarnation. */
  private readonly pending = new Map<string, Promise<void>>();

  private constructor(private readonly options: LossCheckOptions) {}

  static create(options: LossCheckOptions): LossChecks {
    return new LossChecks(options);
  }

  /**
   * Called when the connection of a request broke. Resolves when the first check
   * has ended.
   */
  onBroken(target: Target): Promise<void> {
    const key = incarnationOf(target);
    const pending = this.pending.get(key);
    if (pending !== undefined) return pending;
    const brokenAtMs = this.options.nowMs();
    const series: CheckSeries = {target, brokenAtMs, checks: 0};
    this.series.set(key, series);
    return this.start(key, series);
  }

  private start(key: string, series: CheckSeries): Promise<void> {
    const pending = this.check(key, series);
    this.pending.set(key, pending);
    return pending;
  }

  private async check(key: string, series: CheckSeries): Promise<void> {
    const {checkTarget, onChecked, startTimer} = this.options;
    const result = await checkTarget(series.target);
    this.pending.delete(key);
    const pauseMs = PAUSES_MS[series.checks];
    series.checks += 1;
    if (result === TARGET_CHECK.refused || pauseMs === undefined) {
      this.series.delete(key);
    } else {
      startTimer(() => this.checkAgain(key, series), pauseMs);
    }
    onChecked(series.target, result);
  }

  private checkAgain(key: string, series: CheckSeries): void {
    // A later break began a series of its own.
    if (this.series.get(key) !== series) return;
    if (this.options.hasAnsweredSince(key, series.brokenAtMs)) {
      this.series.delete(key);
      return;
    }
    void this.start(key, series);
  }
}
