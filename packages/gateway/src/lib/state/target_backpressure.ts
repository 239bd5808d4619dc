import {isExcessivePause} from '@applebend/routing';

import type {Logger} from '@applebend/telemetry';
import type {TargetRecord} from './target_record.js';

/** Longest time for which a pause asked of a peer keeps requests away. */
const MAX_PEER_PAUSE_MS = 1000;

/**
 * What targets ask for in their responses, here or at a peer, so that they get
 * fewer requests: a pause, or a rate for all instances together. Times are
 * monotonic milliseconds.
 *
 * @public
 */
export class TargetBackpressure {
  private constructor(
    /** The registered targets, by id. */
    private readonly records: () => ReadonlyMap<string, TargetRecord>,
    private readonly log: Logger
  ) {}

  static create(
    records: () => ReadonlyMap<string, TargetRecord>,
    log: Logger
  ): TargetBackpressure {
    return new TargetBackpressure(records, log);
  }

  /** Records the pause that a target asked of this instance. */
  onPause({target, pause}: TargetRecord, pauseMs: number, nowMs: number): void {
    if (isExcessivePause(pauseMs)) {
      this.log.warn('pause shortened', {target: target.id, pauseMs});
    }
    const {id, service} = target;
    if (pause.endsAtMs < nowMs) {
      this.log.info('target paused', {target: id, service, pauseMs});
    }
    pause.start(pauseMs, nowMs);
  }

  /** Records a pause that a target asked of a peer, which is only a hint. */
  onPeerPause(id: string, pauseMs: number, nowMs: number): void {
    const record = this.records().get(id);
    if (record === undefined) return;
    const endsAtMs = nowMs + Math.min(pauseMs, MAX_PEER_PAUSE_MS);
    record.peerPauseEndsAtMs = Math.max(record.peerPauseEndsAtMs, endsAtMs);
  }

  /**
   * Records the rate that a target names, here or to a peer; Infinity if it names
   * none. Returns whether the peers should hear of it.
   */
  onLimit(record: TargetRecord, limitPerS: number, nowMs: number): boolean {
    const {target, rateLimit} = record;
    const {id, service} = target;
    if (limitPerS === Infinity) {
      const isLifted = rateLimit.onNotNamed(nowMs);
      if (isLifted) this.log.info('target limit lifted', {target: id, service});
      return isLifted;
    }
    if (!rateLimit.isInForce(nowMs)) {
      this.log.info('target limited', {target: id, service, limitPerS});
    }
    return rateLimit.onNamed(limitPerS, nowMs);
  }

  /** Records the rate that a target named to a peer; Infinity if it ended. */
  onPeerLimit(id: string, limitPerS: number, nowMs: number): void {
    const record = this.records().get(id);
    if (record === undefined) return;
    if (limitPerS === Infinity) record.rateLimit.lift();
    else this.onLimit(record, limitPerS, nowMs);
  }

  /** The rates that targets name, by target, for peers that start. */
  limits(nowMs: number): [target: string, limitPerS: number][] {
    return [...this.records().values()]
      .filter(({rateLimit}) => rateLimit.isInForce(nowMs))
      .map(({target, rateLimit}) => [target.id, rateLimit.rate(nowMs)]);
  }
}
