import {fail, ok} from '@applebend/utils';

import type {Result} from '@applebend/utils';
import type {
  ArchivedRecord,
  ArchivedRecords,
  ArchiveError,
  RecordArchive,
  RecordTopic,
} from '../lib/ports.js';

interface Topic {
  readonly records: ArchivedRecord[];
  /** The first retained offset. */
  first: number;
}

/** An archive in memory, with the faults of a store. */
export class MemoryArchive implements RecordArchive {
  /** While set, every call fails. */
  isDown = false;
  /** Most records that one read returns. */
  maxPageRecords = Infinity;
  /** Calls by kind, the failed ones included. */
  readonly calls = {newest: 0, read: 0, append: 0};
  private readonly topics = new Map<string, Topic>();
  private readonly listeners: (() => void)[] = [];
  private onAvailable = (): void => undefined;

  private constructor() {}

  static create(): MemoryArchive {
    return new MemoryArchive();
  }

  put(topic: RecordTopic, key: string, value: Buffer): void {
    this.topic(topic).records.push({
      key,
      value: value.length === 0 ? undefined : value,
    });
  }

  /** All records of a topic in their order. */
  records(topic: RecordTopic): readonly ArchivedRecord[] {
    return this.topic(topic).records;
  }

  /** Number of records of a key, removals included. */
  recordCount(topic: RecordTopic, key: string): number {
    return this.topic(topic).records.filter(r => r.key === key).length;
  }

  /** Drops the records before an offset; the newest of each key stays known. */
  dropBefore(topic: RecordTopic, first: number): void {
    this.topic(topic).first = first;
  }

  /** Removes all records, as a restore from an older copy does. */
  restoreEmpty(): void {
    this.topics.clear();
    for (const listener of this.listeners) listener();
  }

  async newest(
    topic: RecordTopic
  ): Promise<Result<ArchivedRecords, ArchiveError>> {
    this.calls.newest += 1;
    if (this.isDown) return unavailable();
    const {records} = this.topic(topic);
    const newest = new Map(records.map(record => [record.key, record]));
    const kept = [...newest.values()].filter(({value}) => value !== undefined);
    const end = records.length;
    return ok({records: kept, next: end, end});
  }

  async read(
    topic: RecordTopic,
    from: number
  ): Promise<Result<ArchivedRecords, ArchiveError>> {
    this.calls.read += 1;
    if (this.isDown) return unavailable();
    const {records, first} = this.topic(topic);
    if (from < first) return fail({kind: 'history_gone', first});
    const page = records.slice(from, from + this.maxPageRecords);
    return ok({records: page, next: from + page.length, end: records.length});
  }

  async append(
    topic: RecordTopic,
    key: string,
    value: Buffer
  ): Promise<Result<void, ArchiveError>> {
    this.calls.append += 1;
    if (this.isDown) return unavailable();
    this.put(topic, key, value);
    return ok(undefined);
  }

  /** Ends an outage, and lets callers know by another call's response. */
  comeBack(): void {
    this.isDown = false;
    this.onAvailable();
  }

  whenAvailable(): Promise<void> {
    return new Promise(resolve => (this.onAvailable = resolve));
  }

  onRestored(listener: () => void): void {
    this.listeners.push(listener);
  }

  private topic(name: RecordTopic): Topic {
    const topic = this.topics.get(name) ?? {records: [], first: 0};
    this.topics.set(name, topic);
    return topic;
  }
}

function unavailable(): Result<never, ArchiveError> {
  return fail({kind: 'unavailable', message: 'down'});
}
