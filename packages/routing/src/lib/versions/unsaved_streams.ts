import {streamsRecordsOf} from './journal_record.js';

import type {StreamsRecord} from './journal_record.js';
import type {AttemptKey} from './stream_versions.js';

/** The streams that the writer has to save. @internal */
export class UnsavedStreams {
  private streams = new Map<AttemptKey, string>();

  private constructor() {}

  static create(): UnsavedStreams {
    return new UnsavedStreams();
  }

  add(attempt: AttemptKey, version: string): void {
    this.streams.set(attempt, version);
  }

  addAll(streams: ReadonlyMap<AttemptKey, string>): void {
    for (const [attempt, version] of streams) this.add(attempt, version);
  }

  clear(): void {
    this.streams.clear();
  }

  /** Removes and returns all. */
  take(): StreamsRecord[] {
    const records = streamsRecordsOf(this.streams);
    this.streams = new Map();
    return records;
  }

  /** Adds what was not saved after all. What was added later counts. */
  putBack({attempts}: StreamsRecord): void {
    for (const [version, keys] of attempts) {
      for (const attempt of keys) {
        if (!this.streams.has(attempt)) this.streams.set(attempt, version);
      }
    }
  }
}
