import type {
  JournalRecord,
  ServiceRecord,
  StreamsRecord,
} from '../lib/versions/journal_record.js';
import type {AttemptKey} from '../lib/versions/stream_versions.js';

interface Content {
  readonly services: ReadonlyMap<string, readonly string[]>;
  readonly streams: readonly StreamsRecord[];
}

/** Records that 30 s of streams can take, with two writers of 5 a second. */
const MAX_STREAMS_RECORDS = 300;

/** What an instance reads at a start. */
export interface JournalReading {
  readonly services: readonly ServiceRecord[];
  readonly streams: readonly StreamsRecord[];
}

/** The topic of the journal in a store that can be copied and restored. */
export class JournalStore {
  appendCount = 0;
  private readonly appended = new Set<string>();
  private content: Content = {services: new Map(), streams: []};
  private copy = this.content;

  append(record: JournalRecord): void {
    this.appendCount += 1;
    const {services, streams} = this.content;
    if (record.kind === 'service') {
      const {service, versions} = record;
      for (const version of versions)
        this.appended.add(`${service} ${version}`);
      const changed = new Map(services).set(service, versions);
      this.content = {services: changed, streams};
      return;
    }
    this.content = {services, streams: [...streams, record]};
  }

  versionsOf(service: string): readonly string[] {
    return this.content.services.get(service) ?? [];
  }

  /** Returns the sets, and the streams of the retention time. */
  read(): JournalReading {
    const services = [...this.content.services].map(([service, versions]) => ({
      kind: 'service' as const,
      service,
      versions,
    }));
    const streams = this.content.streams.slice(-MAX_STREAMS_RECORDS);
    return {services, streams};
  }

  save(): void {
    this.copy = this.content;
  }

  restore(): void {
    this.content = this.copy;
    this.appended.clear();
  }

  /** Service and version of all sets that were appended since a restore. */
  savedVersions(): ReadonlySet<string> {
    return new Set(this.appended);
  }
}

/** The versions that a reading names for each attempt. */
export function versionsByAttempt({
  streams,
}: JournalReading): Map<AttemptKey, Set<string>> {
  const versions = new Map<AttemptKey, Set<string>>();
  for (const {attempts} of streams) {
    for (const [version, keys] of attempts) {
      for (const key of keys) {
        const named = versions.get(key) ?? new Set<string>();
        versions.set(key, named.add(version));
      }
    }
  }
  return versions;
}
