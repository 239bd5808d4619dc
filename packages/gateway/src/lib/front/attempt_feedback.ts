import {isInvalidResponse} from '../errors.js';
import {kvTokensOf} from './placement.js';

import type {Candidate, LoadHandle} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';
import type {TargetRecord} from '../state/target_record.js';
import type {TargetResponse} from '../upstream/target_call.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** Failures after which the target's signals or its status tell of its health. */
const HEALTH_IS_RECORDED: ReadonlySet<AttemptFailure['kind']> = new Set([
  'target_paused',
  'unconfirmed_refusal',
]);

/**
 * What one attempt tells of its target: its load while the attempt runs, its
 * health, its pause, its prefix cache and the time that a prefill takes there.
 *
 * @public
 */
export class AttemptFeedback {
  private readonly sentMs: number;
  private readonly load: LoadHandle;
  /** Whether the outcome says anything of the target's health. */
  private isConclusive = false;

  private constructor(
    private readonly record: TargetRecord,
    private readonly candidate: Candidate,
    private readonly context: RequestContext,
    private readonly deps: ExchangeDeps
  ) {
    const {id, uncachedTokens} = candidate;
    this.sentMs = this.nowMs;
    this.load = record.ownLoad.start(uncachedTokens, kvTokensOf(context));
    record.health.onSent();
    record.pause.onSent();
    const blocks = context.prompt?.prefixBlocks ?? [];
    const isCacheMiss = !record.prefixCache.hasSharedBlocks(blocks);
    record.prefixCache.touch(blocks);
    deps.onPlaced(id, context, isCacheMiss);
  }

  /** Counts an attempt that is being sent, here and at all peers. */
  static create(
    record: TargetRecord,
    candidate: Candidate,
    context: RequestContext,
    deps: ExchangeDeps
  ): AttemptFeedback {
    return new AttemptFeedback(record, candidate, context, deps);
  }

  private get nowMs(): number {
    return this.deps.clock.monotonicMs();
  }

  /**
   * Records the head of a response. Returns the time since the attempt was
   * sent, which counts as the time to the first event.
   */
  onHead({status, head}: TargetResponse): number {
    const {record, candidate, context} = this;
    const headMs = this.nowMs - this.sentMs;
    const isStream = context.route.streaming && status < 300;
    if (isStream && context.prompt !== undefined) {
      const {load, uncachedTokens} = candidate;
      const readTokens = load.prefillTokens + uncachedTokens;
      record.firstEventModel.observe(readTokens, headMs);
    }
    this.load.onFirstEvent();
    // A target that asks for a pause is full and not faulty.
    if (head.signals.pauseMs !== undefined) return headMs;
    if (status >= 500) this.recordFailure();
    else record.pause.onServed();
    return headMs;
  }

  /** Records a response that arrived in full. */
  onServed(): void {
    this.isConclusive = true;
    this.record.health.onSuccess();
  }

  onFailure(failure: AttemptFailure): void {
    const {kind, isRefused} = failure;
    if (isInvalidResponse(failure)) {
      this.deps.onInvalidResponse(this.record.target, failure);
    }
    if (isRefused) this.record.coldStart.onLost(this.nowMs);
    // A failure that the head of the response showed is recorded already.
    if (HEALTH_IS_RECORDED.has(kind) || this.isConclusive) return;
    if (kind === 'connect_failed') this.recordUnreachable();
    else this.recordFailure();
  }

  /** Records that the target is silent for too long; the attempt goes on. */
  onSilence(): void {
    if (!this.isConclusive) this.recordFailure();
  }

  /** Removes the attempt from the load. Repeated calls have no effect. */
  end(): void {
    this.load.onEnd();
    if (this.isConclusive) return;
    this.isConclusive = true;
    this.record.health.onInconclusive();
  }

  private recordUnreachable(): void {
    this.isConclusive = true;
    this.record.health.onUnreachable(this.nowMs);
  }

  private recordFailure(): void {
    this.isConclusive = true;
    this.record.health.onFailure(this.nowMs);
  }
}
