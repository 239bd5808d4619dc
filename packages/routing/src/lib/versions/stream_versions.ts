import {hash32} from '@applebend/utils';
import {streamRetentionMs} from './stream_retention.js';

/** Identifies a caller's attempt; a hash of its id with 53 bits. @public */
export type AttemptKey = number;

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
  private retentionMs = streamRetentionMs(0);
  /**
   * Streams that were read from the journal and not heard of; undefined if it
   * names several versions. They expire together.
   */
  private readonly journaled = new Map<AttemptKey, string | undefined>();
  private journaledAtMs = -Infinity;

  private constructor() {}

  static create(): StreamVersions {
    return new StreamVersions();
  }

  /**
   * Sets for how long a stream can be resumed after it began. A shorter time than
   * before is ignored: streams that began under the former one may still run.
   */
  setLongestStreamMs(longestMs: number): void {
    this.retentionMs = Math.max(this.retentionMs, streamRetentionMs(longestMs));
  }

  /** Records the version to which an attempt was sent; the last one counts. */
  add(attempt: AttemptKey, version: string, nowMs: number): void {
    this.rotate(nowMs);
    this.current.set(attempt, version);
  }

  /**
   * Records a version that the journal names for an attempt. If it names
   * several, which one came last is not certain, as two instances may have
   * written; the attempt then counts as unknown.
   */
  addJournaled(attempt: AttemptKey, version: string, nowMs: number): void {
    if (this.current.has(attempt) || this.previous.has(attempt)) return;
    if (this.journaled.size >= MAX_STREAMS) this.journaled.clear();
    const isAmbiguous =
      this.journaled.has(attempt) && this.journaled.get(attempt) !== version;
    this.journaled.set(attempt, isAmbiguous ? undefined : version);
    this.journaledAtMs = nowMs;
  }

  /** Returns undefined if the attempt is not known. */
  versionOf(attempt: AttemptKey): string | undefined {
    return (
      this.current.get(attempt) ??
      this.previous.get(attempt) ??
      this.journaled.get(attempt)
    );
  }

  /** Whether any stream is remembered, besides those read from the journal. */
  get hasRemembered(): boolean {
    return this.current.size > 0 || this.previous.size > 0;
  }

  /** The remembered streams, without those only read from the journal. */
  remembered(): Map<AttemptKey, string> {
    return new Map([...this.previous, ...this.current]);
  }

  private rotate(nowMs: number): void {
    if (nowMs - this.journaledAtMs > this.retentionMs) this.journaled.clear();
    const isOld = nowMs - this.currentSinceMs >= this.retentionMs;
    if (!isOld && this.current.size < MAX_STREAMS) return;
    this.previous = this.current;
    this.current = new Map();
    this.currentSinceMs = nowMs;
  }
}
