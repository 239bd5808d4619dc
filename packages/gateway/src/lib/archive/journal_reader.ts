import {JOURNAL_BATCH_INTERVAL_MS, streamRetentionMs} from '@applebend/routing';
import {sleep} from '@applebend/utils';
import {RECORD_TOPIC} from '../ports.js';
import {decodeJournalRecord} from './journal_codec.js';

import type {FleetConfig, JournalRecord} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock, Result} from '@applebend/utils';
import type {
  ArchivedRecord,
  ArchivedRecords,
  ArchiveError,
  RecordArchive,
} from '../ports.js';

const INITIAL_RETRY_MS = 250;
const MAX_RETRY_MS = 2000;
const RETRY_FACTOR = 1.5;
/** How often a reader checks whether the configuration has arrived. */
const CONFIG_POLL_MS = 20;
/** Two instances may write for a short time, see `VersionJournal`. */
const MAX_WRITERS = 2;

type ArchivePage = Result<ArchivedRecords, ArchiveError>;

/** @internal */
export interface JournalReaderOptions {
  readonly archive: RecordArchive;
  readonly clock: Clock;
  readonly log: Logger;
  /** The configuration, which says for how long a stream can be resumed. */
  readonly config: () => FleetConfig | undefined;
  readonly onRecord: (record: JournalRecord) => void;
}

/** Counts for the log. */
interface ReadCounts {
  services: number;
  streamRecords: number;
  malformed: number;
}

/** Reads the journal of stream versions at a start. @internal */
export class JournalReader {
  private stopped = false;
  private restores = 0;
  /** Offset after the streams that were read. */
  private nextOffset = 0;
  private counts: ReadCounts = {services: 0, streamRecords: 0, malformed: 0};

  private constructor(private readonly options: JournalReaderOptions) {}

  static create(options: JournalReaderOptions): JournalReader {
    return new JournalReader(options);
  }

  stop(): void {
    this.stopped = true;
  }

  /** Called when the archive was restored: offsets are no longer valid. */
  onRestored(): void {
    this.restores += 1;
    this.nextOffset = 0;
  }

  /** Resolves to true once the journal is read, to false if stopped before. */
  async readAll(): Promise<boolean> {
    const {clock, log} = this.options;
    const beganAtMs = clock.monotonicMs();
    while (!this.stopped) {
      const {restores} = this;
      this.counts = {services: 0, streamRecords: 0, malformed: 0};
      const isRead = await this.readOnce(() => this.restores === restores);
      if (!isRead) continue;
      const elapsedMs = clock.monotonicMs() - beganAtMs;
      log.info('version journal read', {...this.counts, elapsedMs});
      return true;
    }
    return false;
  }

  /**
   * Reads the streams that were appended since the last read. It is tried once;
   * streams that are missed are refused at this instance.
   */
  async readNew(): Promise<void> {
    const {restores} = this;
    await this.readPages(
      Infinity,
      () => this.restores === restores,
      from => this.options.archive.read(RECORD_TOPIC.versions, from)
    );
  }

  /** Returns false if it has to be read anew. */
  private async readOnce(isCurrent: () => boolean): Promise<boolean> {
    const {archive} = this.options;
    const newest = await this.retried(isCurrent, () =>
      archive.newest(RECORD_TOPIC.versions)
    );
    if (newest?.ok !== true) return false;
    for (const archived of newest.value.records) {
      const record = this.decode(archived);
      if (record?.kind !== 'service') continue;
      this.counts.services += 1;
      this.options.onRecord(record);
    }
    return this.readStreams(newest.value.end, isCurrent);
  }

  private async readStreams(
    end: number,
    isCurrent: () => boolean
  ): Promise<boolean> {
    const maxRecords = await this.maxRecords();
    this.nextOffset = Math.max(0, end - maxRecords);
    return this.readPages(end, isCurrent, from =>
      this.retried(isCurrent, () =>
        this.options.archive.read(RECORD_TOPIC.versions, from)
      )
    );
  }

  /**
   * Reads streams up to an offset, or to the end that a page names if that is
   * less. Returns false if what was read is void.
   */
  private async readPages(
    maxEnd: number,
    isCurrent: () => boolean,
    read: (from: number) => Promise<ArchivePage | undefined>
  ): Promise<boolean> {
    let end = maxEnd;
    while (!this.stopped && this.nextOffset < end) {
      const from = this.nextOffset;
      const page = await read(from);
      if (page === undefined || !isCurrent()) return false;
      if (!page.ok) {
        // Older streams are refused, as they can no longer be read.
        const isGone = page.err.kind === 'history_gone';
        if (!isGone || page.err.first === from) break;
        this.nextOffset = page.err.first;
        continue;
      }
      if (page.value.records.length === 0) break;
      for (const archived of page.value.records) this.onStreams(archived);
      this.nextOffset = page.value.next;
      end = Math.min(end, page.value.end);
    }
    return isCurrent();
  }

  /**
   * Applies streams. Sets of versions are skipped: those in the history may be
   * older than the newest ones, which have been applied.
   */
  private onStreams(archived: ArchivedRecord): void {
    const record = this.decode(archived);
    if (record?.kind !== 'streams') return;
    this.counts.streamRecords += 1;
    this.options.onRecord(record);
  }

  private decode(archived: ArchivedRecord): JournalRecord | undefined {
    const record = decodeJournalRecord(archived);
    if (record !== undefined || archived.value === undefined) return record;
    this.counts.malformed += 1;
    const {key} = archived;
    this.options.log.warn('malformed journal record', {key});
    return undefined;
  }

  /** The number of records that the retention time can hold. */
  private async maxRecords(): Promise<number> {
    let config = this.options.config();
    while (config === undefined && !this.stopped) {
      await sleep(CONFIG_POLL_MS);
      config = this.options.config();
    }
    const longestMs = config?.routes.longestTimeoutMs ?? 0;
    const batches = streamRetentionMs(longestMs) / JOURNAL_BATCH_INTERVAL_MS;
    return Math.ceil(batches * MAX_WRITERS);
  }

  /**
   * Calls until the archive is available. Resolves to undefined if this reader
   * is stopped, or what was read before is void.
   */
  private async retried<T>(
    isCurrent: () => boolean,
    call: () => Promise<Result<T, ArchiveError>>
  ): Promise<Result<T, ArchiveError> | undefined> {
    let retryMs = INITIAL_RETRY_MS;
    while (!this.stopped) {
      const result = await call();
      if (!isCurrent()) return undefined;
      if (result.ok || result.err.kind === 'history_gone') return result;
      this.options.log.warn('version journal not readable', {...result.err});
      await this.pause(retryMs);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * RETRY_FACTOR);
    }
    return undefined;
  }

  /** Ends early, but not at once, when another call finds the archive available. */
  private async pause(retryMs: number): Promise<void> {
    const available = this.options.archive.whenAvailable();
    await sleep(INITIAL_RETRY_MS);
    await Promise.race([sleep(retryMs - INITIAL_RETRY_MS), available]);
  }
}
