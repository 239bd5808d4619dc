import {sharedBlocksOf} from '@applebend/routing';
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

  private constructor(
    private readonly guard: CrashGuard,
    private readonly content: RequestContent,
    /** Ids of the blocks of its prompt that other requests may have, too. */
    private readonly blocks: readonly string[]
  ) {}

  static create(
    guard: CrashGuard,
    content: RequestContent,
    prompt?: Prompt
  ): RequestCrashes {
    const blocks = sharedBlocksOf(prompt?.prefixBlocks ?? []);
    const ids = blocks.map(({id}) => id);
    return new RequestCrashes(guard, content, ids);
  }

  /** The request's fingerprint; undefined if it was not needed. */
  get knownFingerprint(): string | undefined {
    return this.hash;
  }

  /** Milliseconds until the request may be sent; 0 if it may be now. */
  get quarantineLeftMs(): number {
    if (this.guard.isEmpty) return 0;
    return this.guard.quarantineLeftMs(this.fingerprint);
  }

  /** Called when an attempt begins. */
  onSend(): void {
    this.writingSinceMs = undefined;
  }

  /** Called when events of a stream arrived. */
  onEvents(nowMs: number): void {
    this.writingSinceMs ??= nowMs;
  }

  /**
   * Called when the connection to a target broke. Resolves when it is known
   * whether the target is lost.
   */
  onReset(target: Target, nowMs: number): Promise<void> {
    const {fingerprint, blocks, writingSinceMs} = this;
    const writingMs =
      writingSinceMs === undefined ? undefined : nowMs - writingSinceMs;
    return this.guard.onReset(target, {fingerprint, blocks, writingMs});
  }

  onServed(): void {
    if (!this.guard.isEmpty) this.guard.onServed(this.fingerprint);
  }

  private get fingerprint(): string {
    this.hash ??= fingerprintOf(this.content);
    return this.hash;
  }
}
