import {blockKey, incarnationOf, sharedBlocksOf} from '@applebend/routing';
import {EXECUTION} from '../execution.js';
import {SURVIVAL_MS} from './crash_guard.js';
import {fingerprintOf} from './request_fingerprint.js';

import type {Prompt, Target} from '@applebend/routing';
import type {AttemptFailure} from '../errors.js';
import type {CrashGuard} from './crash_guard.js';
import type {RequestContent} from './request_fingerprint.js';

/** An attempt whose end is not known yet. */
interface OpenRun {
  readonly target: Target;
  readonly incarnation: string;
  readonly sentAtMs: number;
  /** When the target began to send events. */
  writingSinceMs: number | undefined;
}

/**
 * What one request has to do with losses of targets. Its content is hashed only
 * if anything is suspected, here or at a peer, or an attempt ends without a
 * result.
 *
 * @public
 */
export class RequestCrashes {
  private hash: string | undefined;
  private run: OpenRun | undefined;
  private haveBlocksRun = false;

  private constructor(
    private readonly guard: CrashGuard,
    private readonly content: RequestContent,
    /** Keys of the blocks of its prompt that other requests may have, too. */
    private readonly blocks: readonly string[]
  ) {}

  static create(
    guard: CrashGuard,
    content: RequestContent,
    prompt?: Prompt
  ): RequestCrashes {
    const blocks = sharedBlocksOf(prompt?.prefixBlocks ?? []);
    const keys = blocks.map(({id}) => blockKey(id));
    return new RequestCrashes(guard, content, keys);
  }

  /** The request's fingerprint; undefined if it was not needed. */
  get knownFingerprint(): string | undefined {
    return this.hash;
  }

  /** Milliseconds until the request may be sent; 0 if it may be now. */
  get quarantineLeftMs(): number {
    if (this.guard.isEmpty) return 0;
    const keys = [this.fingerprint, ...this.blocks];
    return Math.max(...keys.map(key => this.guard.quarantineLeftMs(key)));
  }

  /** The block for which the request is refused now, if it is one. */
  get quarantinedBlock(): string | undefined {
    if (this.guard.isEmpty) return undefined;
    return this.blocks.find(key => this.guard.quarantineLeftMs(key) > 0);
  }

  /** Called when an attempt begins. */
  onSend(target: Target, nowMs: number): void {
    const incarnation = incarnationOf(target);
    const writingSinceMs = undefined;
    this.run = {target, incarnation, sentAtMs: nowMs, writingSinceMs};
    this.haveBlocksRun = false;
  }

  /** Called when the head of a response arrived. */
  onHead(nowMs: number): void {
    const {run} = this;
    if (run === undefined) return;
    this.guard.onTargetAlive(run.incarnation, run.sentAtMs, nowMs);
  }

  /** Called when events of a stream arrived. */
  onEvents(nowMs: number): void {
    const {run} = this;
    if (run === undefined) return;
    this.guard.onTargetAlive(run.incarnation, run.sentAtMs, nowMs);
    run.writingSinceMs ??= nowMs;
    if (nowMs - run.writingSinceMs >= SURVIVAL_MS) this.onBlocksRan();
  }

  /**
   * Called when the attempt failed. Resolves when the target has been checked
   * once, if it broke the connection.
   */
  onFailure(
    {kind, execution, isRefused}: AttemptFailure,
    nowMs: number
  ): Promise<void> {
    const target = this.run?.target;
    if (target === undefined) return Promise.resolve();
    if (isRefused) this.guard.onRefused(target);
    if (kind === 'wrong_target') this.guard.onWrongTarget(target);
    if (execution !== EXECUTION.notRun) {
      return this.endRun(kind === 'reset', nowMs);
    }
    this.onNotRun();
    return Promise.resolve();
  }

  /**
   * Called when the attempt ends without a result and did not fail: it was
   * aborted, or the target answered with an error. The target may crash under it
   * later.
   */
  onUnresolved(nowMs: number): void {
    void this.endRun(false, nowMs);
  }

  /** Called when it is known that the target did not run the request. */
  onNotRun(): void {
    this.run = undefined;
  }

  /** Called when the response was complete and a success. */
  onServed(): void {
    this.run = undefined;
    this.onBlocksRan();
    if (this.guard.knowsAnyRequest) this.guard.onServed(this.fingerprint);
  }

  /** Called when the request has ended and no attempt at it is open. */
  freeBody(): void {
    this.content.body = undefined;
  }

  private endRun(isBroken: boolean, endedAtMs: number): Promise<void> {
    const {run, fingerprint} = this;
    this.run = undefined;
    if (run === undefined) return Promise.resolve();
    const {target, sentAtMs, writingSinceMs} = run;
    const writingMs =
      writingSinceMs === undefined ? undefined : endedAtMs - writingSinceMs;
    const blocks = this.haveBlocksRun ? [] : this.blocks;
    return this.guard.onRunEnded(target, {
      fingerprint,
      blocks,
      writingMs,
      sentAtMs,
      endedAtMs,
      isBroken,
    });
  }

  private onBlocksRan(): void {
    if (this.haveBlocksRun) return;
    this.haveBlocksRun = true;
    this.guard.onBlocksRan(this.blocks);
  }

  private get fingerprint(): string {
    this.hash ??= fingerprintOf(this.content);
    return this.hash;
  }
}
