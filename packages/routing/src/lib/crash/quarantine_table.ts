import {createHistory, HistoryTable} from './loss_history.js';

import type {LossHistory} from './loss_history.js';
import type {Quarantine} from './target_loss.js';

/** How long quarantines last. @public */
export interface QuarantineOptions {
  /** Milliseconds of the first quarantine of a request or a block. */
  readonly firstQuarantineMs: number;
  /** Limit for the later ones, each of which is longer than the one before. */
  readonly maxQuarantineMs: number;
}

/** Each quarantine lasts this many times the one before. */
const QUARANTINE_GROWTH = 4;

/**
 * The requests and blocks of prompts that are, or once were, in quarantine, by
 * fingerprint or key.
 *
 * @internal
 */
export class QuarantineTable {
  private readonly histories = HistoryTable.create();

  private constructor(private readonly options: QuarantineOptions) {}

  static create(options: QuarantineOptions): QuarantineTable {
    return new QuarantineTable(options);
  }

  get size(): number {
    return this.histories.size;
  }

  /** The history of what is, or was, in quarantine. */
  get(key: string): LossHistory | undefined {
    return this.histories.get(key);
  }

  /** Milliseconds until it may run; 0 if it is not in quarantine. */
  leftMs(key: string, nowMs: number): number {
    const untilMs = this.histories.get(key)?.quarantinedUntilMs;
    return Math.max(0, (untilMs ?? nowMs) - nowMs);
  }

  /** All quarantines in force. */
  all(nowMs: number): Quarantine[] {
    const quarantines: Quarantine[] = [];
    for (const [key] of this.histories.entries()) {
      const quarantine = this.of(key, nowMs);
      if (quarantine !== undefined) quarantines.push(quarantine);
    }
    return quarantines;
  }

  /** Returns undefined if it is not in quarantine now. */
  of(key: string, nowMs: number): Quarantine | undefined {
    const leftMs = this.leftMs(key, nowMs);
    const history = this.histories.get(key);
    if (leftMs === 0 || history === undefined) return undefined;
    return {fingerprint: key, losses: history.losses, leftMs};
  }

  /**
   * Begins a quarantine.
   *
   * @param earlier - losses beyond those of the first quarantine
   */
  start(
    key: string,
    history: LossHistory,
    earlier: number,
    nowMs: number
  ): void {
    const {firstQuarantineMs, maxQuarantineMs} = this.options;
    const growth = QUARANTINE_GROWTH ** Math.max(0, Math.floor(earlier));
    const durationMs = Math.min(maxQuarantineMs, firstQuarantineMs * growth);
    history.quarantinedAtMs = nowMs;
    history.quarantinedUntilMs = nowMs + durationMs;
    this.add(key, history);
  }

  /**
   * Records a quarantine that was imposed elsewhere. Returns whether it is news.
   *
   * @param known - the losses that are known here
   */
  onImposed(
    {fingerprint, leftMs, losses}: Quarantine,
    nowMs: number,
    known: LossHistory = createHistory()
  ): boolean {
    const isNews = this.leftMs(fingerprint, nowMs) === 0;
    const untilMs = nowMs + Math.min(leftMs, this.options.maxQuarantineMs);
    known.losses = Math.max(known.losses, losses);
    if (isNews) known.quarantinedAtMs = nowMs;
    known.quarantinedUntilMs = Math.max(known.quarantinedUntilMs, untilMs);
    this.add(fingerprint, known);
    return isNews;
  }

  /** Returns whether there was one, in force or not. */
  delete(key: string): boolean {
    return this.histories.delete(key);
  }

  forgetOld(nowMs: number): void {
    this.histories.forgetOld(nowMs);
  }

  private add(key: string, history: LossHistory): void {
    const {maxQuarantineMs} = this.options;
    history.forgottenAtMs = history.quarantinedUntilMs + maxQuarantineMs;
    this.histories.set(key, history);
  }
}
