import {sleep} from '@applebend/utils';
import {RECORD_TOPIC} from '../ports.js';
import {encodeJournalRecord} from './journal_codec.js';
import {JournalLog} from './journal_log.js';
import {JournalReader} from './journal_reader.js';

import type {JournalRecord, ServiceVersions} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';
import type {RecordArchive} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';

/** How often the writer's `VersionJournal` is asked what to append. */
const WRITER_TICK_MS = 50;
/** The same for the other instances; a wake-up costs processor time. */
const TICK_MS = 200;
/**
 * Least time between two reads of what is new, for each instance of the fleet, so
 * that all together read at a bounded rate.
 */
const CATCH_UP_INTERVAL_PER_INSTANCE_MS = 10;
const MIN_CATCH_UP_INTERVAL_MS = 250;
/** Longer than it takes to append a stream that began just before the read. */
const LATE_READ_DELAY_MS = 1000;

/** The state that is saved and read. @public */
export interface JournaledState extends Pick<
  FleetState,
  'config' | 'instanceCount' | 'journalReadiness' | 'versionJournal'
> {
  readonly targets: {readonly versions: ServiceVersions};
}

/** @public */
export interface VersionArchiveOptions {
  readonly archive: RecordArchive;
  readonly state: JournaledState;
  readonly clock: Clock;
  readonly log: Logger;
  /** Called after each append of a record, or attempt at one. */
  readonly onAppended: (isSaved: boolean) => void;
}

/**
 * Keeps in the archive at which software versions streams were begun, so that
 * the knowledge survives a restart of all instances. `VersionJournal` decides
 * what to append; here it is read at a start, encoded and appended.
 *
 * @public
 */
export class VersionArchive {
  private readonly reader: JournalReader;
  private readonly journalLog: JournalLog;
  private timer: NodeJS.Timeout | undefined;
  /** The records that the journal returned last. */
  private batch: readonly JournalRecord[] = [];
  /** The read of what is new that is under way or due. */
  private catchingUp: Promise<void> | undefined;
  private caughtUpAtMs = -Infinity;
  /** Resolves when no append is under way, so that they keep their order. */
  private appended = Promise.resolve();

  private constructor(private readonly options: VersionArchiveOptions) {
    const {archive, state, clock, log} = options;
    this.journalLog = JournalLog.create(log, clock);
    this.reader = JournalReader.create({
      archive,
      clock,
      log,
      config: () => state.config,
      onRecord: record => state.versionJournal.onRead(record, this.nowMs),
    });
    state.journalReadiness.setReader(() => this.catchUp());
    archive.onRestored(() => {
      this.reader.onRestored();
      state.versionJournal.onNewEra(this.nowMs);
    });
  }

  static create(options: VersionArchiveOptions): VersionArchive {
    return new VersionArchive(options);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /**
   * Begins to read and to save.
   *
   * @param isFirstStart - whether the whole fleet starts for the first time, so
   *     that nothing has been saved
   */
  start(isFirstStart: boolean): void {
    this.schedule(TICK_MS);
    if (isFirstStart) this.onFirstStart();
    else void this.read();
  }

  /** Called when the versions of a service may have changed. */
  onVersions(): void {
    if (this.timer !== undefined) this.schedule(0);
  }

  /** Ends reading and saving; what is not saved yet is left to the peers. */
  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.batch = [];
    this.reader.stop();
  }

  /** Reads what was appended since the last read; calls meanwhile share it. */
  private catchUp(): Promise<void> {
    this.catchingUp ??= this.catchUpOnce().finally(
      () => (this.catchingUp = undefined)
    );
    return this.catchingUp;
  }

  private async catchUpOnce(): Promise<void> {
    const {instanceCount} = this.options.state;
    const fleetMs = instanceCount * CATCH_UP_INTERVAL_PER_INSTANCE_MS;
    const intervalMs = Math.max(MIN_CATCH_UP_INTERVAL_MS, fleetMs);
    const waitMs = this.caughtUpAtMs + intervalMs - this.nowMs;
    if (waitMs > 0) await sleep(waitMs);
    this.caughtUpAtMs = this.nowMs;
    await this.reader.readNew();
  }

  private async read(): Promise<void> {
    if (!(await this.reader.readAll())) return;
    this.onReadEnd();
    // Peers may have sent the notices of streams that they appended while the
    // journal was read before this instance could receive any.
    await sleep(LATE_READ_DELAY_MS);
    await this.catchUp();
  }

  private onFirstStart(): void {
    const {versionJournal, journalReadiness} = this.options.state;
    versionJournal.onFirstStart();
    journalReadiness.onComplete();
  }

  private onReadEnd(): void {
    const {versionJournal, journalReadiness} = this.options.state;
    versionJournal.onReadEnd(this.nowMs);
    journalReadiness.onComplete();
    this.onVersions();
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tick(), delayMs);
  }

  private tick(): void {
    const {state} = this.options;
    const {versionJournal: journal, targets, instanceCount} = state;
    const {nowMs} = this;
    journal.onServices(targets.versions.sets(nowMs), nowMs);
    const records = journal.next(instanceCount, nowMs);
    this.schedule(journal.isWriter ? WRITER_TICK_MS : TICK_MS);
    this.journalLog.onRole(journal.isWriter);
    if (records.length === 0) return;
    this.batch = records;
    this.appended = this.appended.then(() => this.append(records));
  }

  /**
   * Appends in order; after a failure the journal returns the rest again. If
   * another instance has become the writer, it saves the rest.
   */
  private async append(records: readonly JournalRecord[]): Promise<void> {
    const {archive, state, onAppended} = this.options;
    for (const record of records) {
      if (this.batch !== records || !state.versionJournal.isWriter) return;
      const {key, value} = encodeJournalRecord(record);
      const result = await archive.append(RECORD_TOPIC.versions, key, value);
      if (this.timer === undefined) return;
      onAppended(result.ok);
      if (!result.ok) {
        state.versionJournal.onFailed(this.nowMs);
        this.journalLog.onFailed(result.err);
        return;
      }
      state.versionJournal.onSaved(record, this.nowMs);
      this.journalLog.onSaved(record);
    }
  }
}
