import {fingerprintOf} from './request_fingerprint.js';

import type {Target} from '@applebend/routing';
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

  private constructor(
    private readonly guard: CrashGuard,
    private readonly content: RequestContent
  ) {}

  static create(guard: CrashGuard, content: RequestContent): RequestCrashes {
    return new RequestCrashes(guard, content);
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

  /**
   * Called when the connection to a target broke. Resolves when it is known
   * whether the target is lost.
   *
   * @param hasProgressed - whether a part of a stream had arrived from it
   */
  onReset(target: Target, hasProgressed: boolean): Promise<void> {
    return this.guard.onReset(target, this.fingerprint, hasProgressed);
  }

  onServed(): void {
    if (!this.guard.isEmpty) this.guard.onServed(this.fingerprint);
  }

  private get fingerprint(): string {
    this.hash ??= fingerprintOf(this.content);
    return this.hash;
  }
}
