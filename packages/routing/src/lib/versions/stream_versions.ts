import {hash32} from '@applebend/utils';

/** Identifies a caller's attempt; a hash of its id with 53 bits. @public */
export type AttemptKey = number;

/** Shortest time for which a stream is remembered. */
const MIN_RETENTION_MS = 30_000;
/** Bounds the memory; with more, streams are forgotten sooner. */
const MAX_STREAMS = 100_000;
const LOW_BITS = 21;
const LOW_SHIFT = 32 - LOW_BITS;

/** @public */
export function attemptKeyOf(attemptId: string): AttemptKey {
  const low = hash32(`${attemptId}#`) >>> LOW_SHIFT;
  return hash32(attemptId) * 2 ** LOW_BITS + low;
}

/**
 * Remembers at which software version each stream was begun. A stream that
 * breaks may go on only there.
 *
 * @public
 */
export class StreamVersions {
  private current = new Map<AttemptKey, string>();
  private previous = new Map<AttemptKey, string>();
  private currentSinceMs = -Infinity;
  private retentionMs = MIN_RETENTION_MS;

  private constructor() {}

  static create(): StreamVersions {
    return new StreamVersions();
  }

  /** Sets for how long a stream may be taken up after it began. */
  setLongestStreamMs(longestMs: number): void {
    this.retentionMs = Math.max(MIN_RETENTION_MS, longestMs);
  }

  /** Records the version to which an attempt was sent; the last one counts. */
  add(attempt: AttemptKey, version: string, nowMs: number): void {
    this.rotate(nowMs);
    this.current.set(attempt, version);
  }

  /** Returns undefined if the attempt is not known. */
  versionOf(attempt: AttemptKey): string | undefined {
    return this.current.get(attempt) ?? this.previous.get(attempt);
  }

  private rotate(nowMs: number): void {
    const isOld = nowMs - this.currentSinceMs >= this.retentionMs;
    if (!isOld && this.current.size < MAX_STREAMS) return;
    this.previous = this.current;
    this.current = new Map();
    this.currentSinceMs = nowMs;
  }
}
