import {JournaledServices} from './journaled_services.js';
import {UnsavedStreams} from './unsaved_streams.js';
import {WriterSelection} from './writer_selection.js';

import type {JournalRecord} from './journal_record.js';
import type {ServiceVersions} from './service_versions.js';
import type {AttemptKey, StreamVersions} from './stream_versions.js';

/** @public */
export interface VersionJournalOptions {
  /** Id of this instance. */
  readonly instance: string;
  /** A number from 0 (included) to 1 (excluded), uniformly distributed. */
  readonly random: () => number;
  /** Receives the versions that are read from the journal. */
  readonly services: ServiceVersions;
  /** The remembered streams; receives those that are read from the journal. */
  readonly streams: StreamVersions;
}

/** Least time between two batches of one writer. @public */
export const JOURNAL_BATCH_INTERVAL_MS = 200;
/**
 * An append that takes this long is late: the instance was frozen, or the store
 * did not respond. Others have taken over by then. At a start, several instances
 * write for less than that; each would append again at the next change.
 */
const LATE_APPEND_MS = 1000;

/**
 * Decides what this instance appends to the journal of stream versions. One
 * instance writes for the whole fleet, since all instances hear of all streams.
 *
 * @public
 */
export class VersionJournal {
  private readonly selection: WriterSelection;
  private readonly services = JournaledServices.create();
  private readonly unsavedStreams = UnsavedStreams.create();
  /** Records of the last batch whose append has no result yet. */
  private readonly inFlight = new Set<JournalRecord>();
  private readonly returnedAtMs = new WeakMap<JournalRecord, number>();
  private nextBatchAtMs = -Infinity;
  private hasEndedReading = false;

  private constructor(private readonly options: VersionJournalOptions) {
    this.selection = WriterSelection.create(options);
  }

  static create(options: VersionJournalOptions): VersionJournal {
    return new VersionJournal(options);
  }

  /** Whether this instance writes for the fleet. */
  get isWriter(): boolean {
    return this.selection.isWriter;
  }

  /**
   * Whether the journal has been read completely. Until then nothing is written:
   * a set without the versions that are only in the journal would replace them.
   */
  get isRead(): boolean {
    return this.hasEndedReading;
  }

  /**
   * Called with the versions of all services (`ServiceVersions.sets`), at least
   * before each call of `next`.
   */
  onServices(
    sets: ReadonlyMap<string, readonly string[]>,
    nowMs: number
  ): void {
    this.services.onServices(sets);
    if (this.services.unsaved().length > 0) this.onUnsaved(nowMs);
  }

  /**
   * Called when a stream began here or at a peer, after it was added to the
   * remembered streams.
   */
  onStream(attempt: AttemptKey, version: string, nowMs: number): void {
    if (this.isWriter) {
      this.unsavedStreams.add(attempt, version);
      return;
    }
    // The writer of what was read here may have had nothing to save since.
    if (this.services.hasHeld) this.selection.onWriterKnown();
    this.onUnsaved(nowMs);
  }

  /** Called when an instance says that it has appended a record. */
  onPeerSaved(instance: string, nowMs: number): void {
    if (instance === this.options.instance) return;
    this.selection.onPeerSaved(instance, nowMs);
    if (this.isWriter) {
      // The other writer may have replaced a set of versions by an older one.
      this.saveServicesAgain();
      return;
    }
    this.services.assumeSaved();
    this.discardBatch();
  }

  /**
   * Called when the store was restored from an older copy, which may lack what
   * was saved.
   */
  onNewEra(nowMs: number): void {
    if (this.isWriter) {
      this.inFlight.clear();
      this.startSaving();
      return;
    }
    this.selection.postponeTakeover(nowMs);
    this.onUnsaved(nowMs);
  }

  /** Applies a record that was read at startup. */
  onRead(record: JournalRecord, nowMs: number): void {
    const {services, streams} = this.options;
    if (record.kind === 'service') {
      const {service, versions} = record;
      this.services.onHeld(record);
      for (const version of versions) {
        services.add({service, version, ageMs: 0}, nowMs);
      }
      return;
    }
    for (const [version, attempts] of record.attempts) {
      for (const attempt of attempts) {
        streams.addJournaled(attempt, version, nowMs);
      }
    }
  }

  /** Called in place of `onReadEnd` where the whole fleet has never run before. */
  onFirstStart(): void {
    this.hasEndedReading = true;
  }

  /** Called after the last record was read. */
  onReadEnd(nowMs: number): void {
    this.hasEndedReading = true;
    const {services} = this.options;
    services.onHistoryRead(this.services.heldServices(), nowMs);
    this.services.onServices(services.sets(nowMs));
    // An instance that was up when a writer was lost remembers more streams, so
    // it has the first chance to take over, unless the journal lacks a version.
    const isJournaled = this.services.unsaved().length === 0;
    if (isJournaled) this.selection.postponeTakeover(nowMs);
    const {hasRemembered} = this.options.streams;
    if (hasRemembered || !isJournaled) this.onUnsaved(nowMs);
  }

  /**
   * The records to append now, one after the other; none if this instance is not
   * the writer, if records returned before are neither saved nor failed, or if
   * the last batch was less than 200 ms ago. To be called every 50 ms or so.
   */
  next(instanceCount: number, nowMs: number): readonly JournalRecord[] {
    const wasWriter = this.isWriter;
    this.selection.update(instanceCount, nowMs);
    // A late append may have replaced a newer set, and its notice been lost.
    if (this.services.hasOutdated(nowMs)) this.selection.takeOverAtOnce(nowMs);
    if (!this.isWriter) {
      if (wasWriter) this.discardBatch();
      return [];
    }
    if (!wasWriter) this.startSaving();
    if (this.inFlight.size > 0 || nowMs < this.nextBatchAtMs) return [];
    const records = [...this.services.unsaved(), ...this.unsavedStreams.take()];
    if (records.length === 0) return [];
    for (const record of records) {
      this.inFlight.add(record);
      this.returnedAtMs.set(record, nowMs);
    }
    this.nextBatchAtMs = nowMs + JOURNAL_BATCH_INTERVAL_MS;
    this.selection.onAppend(nowMs);
    return records;
  }

  /** Called after a record that `next` returned was appended. */
  onSaved(record: JournalRecord, nowMs: number): void {
    const isCurrent = this.inFlight.delete(record);
    this.selection.onAppended(this.inFlight.size > 0, nowMs);
    if (record.kind !== 'service') return;
    const returnedAtMs = this.returnedAtMs.get(record) ?? nowMs;
    if (isCurrent) this.services.onHeld(record);
    // An instance that was frozen may hear of the other writer only after this.
    const isLate = nowMs - returnedAtMs >= LATE_APPEND_MS;
    if (isLate) this.services.onSavedLate(record, nowMs);
  }

  /**
   * Called when an append failed. All records of the batch that are not saved
   * yet are returned again with the next one.
   */
  onFailed(nowMs: number): void {
    for (const record of this.inFlight) {
      if (record.kind === 'streams') this.unsavedStreams.putBack(record);
    }
    this.inFlight.clear();
    this.selection.onFailed(nowMs);
    if (!this.isWriter) this.discardBatch();
  }

  private onUnsaved(nowMs: number): void {
    if (this.isRead) this.selection.onUnsaved(nowMs);
  }

  /** Saves all that is known, as the journal may lack any part of it. */
  private startSaving(): void {
    this.services.forceAll();
    this.unsavedStreams.clear();
    this.unsavedStreams.addAll(this.options.streams.remembered());
  }

  /** Results of appends under way no longer count for the sets of versions. */
  private saveServicesAgain(): void {
    this.services.forceAll();
    for (const record of this.inFlight) {
      if (record.kind === 'service') this.inFlight.delete(record);
    }
  }

  private discardBatch(): void {
    this.inFlight.clear();
    this.unsavedStreams.clear();
  }
}
