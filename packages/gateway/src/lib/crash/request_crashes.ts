import {blockKey, sharedBlocksOf} from '@applebend/routing';
import {SURVIVAL_MS} from './crash_guard.js';
import {fingerprintOf} from './request_fingerprint.js';

import type {Prompt, Target} from '@applebend/routing';
import type {CrashGuard} from './crash_guard.js';
import type {RequestContent} from './request_fingerprint.js';

/**
 * What one request has to do with losses of targets. Its content is hashed only
 * if anything is suspected, here or at a peer.
 *
 * @public
 */
export class RequestCrashes {
  private hash: string | undefined;
  /** When the target of the present attempt began to write. */
  private writingSinceMs: number | undefined;
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
  onSend(): void {
    this.writingSinceMs = undefined;
    this.haveBlocksRun = false;
  }

  /** Called when events of a stream arrived. */
  onEvents(nowMs: number): void {
    this.writingSinceMs ??= nowMs;
    if (nowMs - this.writingSinceMs >= SURVIVAL_MS) this.onBlocksRan();
  }

  /**
   * Called when the connection to a target broke. Resolves when it is known
   * whether the target is lost.
   */
  onReset(target: Target, nowMs: number): Promise<void> {
    const {fingerprint, writingSinceMs} = this;
    const writingMs =
      writingSinceMs === undefined ? undefined : nowMs - writingSinceMs;
    const blocks = this.haveBlocksRun ? [] : this.blocks;
    return this.guard.onReset(target, {fingerprint, blocks, writingMs});
  }

  /** Called when the response was complete. */
  onServed(): void {
    this.onBlocksRan();
    if (!this.guard.isEmpty) this.guard.onServed(this.fingerprint);
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
