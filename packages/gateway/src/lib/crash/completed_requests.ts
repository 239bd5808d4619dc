import {RETENTION_MS} from '@applebend/routing';
import {evictOldest} from '@applebend/utils';

import type {Survival} from '@applebend/routing';

/** Bounds the memory, and what a peer that starts is told. */
const MAX_COMPLETED = 200;

/**
 * When requests ran to their end that had ended without a result before. A peer
 * that starts may hear of these earlier runs from one that does not know it yet.
 *
 * @internal
 */
export class CompletedRequests {
  /** By fingerprint, in monotonic milliseconds; the latest news come last. */
  private readonly completedAtMs = new Map<string, number>();

  private constructor() {}

  static create(): CompletedRequests {
    return new CompletedRequests();
  }

  add(fingerprint: string, atMs: number): void {
    this.completedAtMs.delete(fingerprint);
    this.completedAtMs.set(fingerprint, atMs);
    if (this.completedAtMs.size > MAX_COMPLETED) {
      evictOldest(this.completedAtMs);
    }
  }

  /** Those whose earlier runs may still be told. */
  recent(nowMs: number): Survival[] {
    return [...this.completedAtMs]
      .map(([key, atMs]) => ({key, ageMs: nowMs - atMs}))
      .filter(({ageMs}) => ageMs < RETENTION_MS);
  }
}
