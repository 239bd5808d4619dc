import {ServiceVersions} from '../lib/versions/service_versions.js';
import {StreamVersions} from '../lib/versions/stream_versions.js';
import {resumedVersionNeed} from '../lib/versions/version_need.js';
import {VersionJournal} from '../lib/versions/version_journal.js';
import {versionsByAttempt} from './journal_store.js';

import type {Random} from '@applebend/utils';
import type {JournalRecord} from '../lib/versions/journal_record.js';
import type {RegisteredVersion} from '../lib/versions/service_versions.js';
import type {AttemptKey} from '../lib/versions/stream_versions.js';
import type {VersionNeed} from '../lib/versions/version_need.js';
import type {JournalStore} from './journal_store.js';

/** What an instance needs of the rest of the model. */
export interface JournalInstanceOptions {
  readonly id: string;
  readonly instanceCount: number;
  readonly startedAtMs: number;
  readonly isFleetBootstrap: boolean;
  readonly random: Random;
  /** Chance that the result of an append comes too late. */
  readonly hangingChance: number;
  readonly store: JournalStore;
  readonly canReachStore: () => boolean;
  readonly registered: () => readonly RegisteredVersion[];
  readonly announceSaved: () => void;
}

const READ_RETRY_MS = 250;
/** The journal is read in several calls, beside the list of targets. */
const MAX_READ_MS = 1000;
const LIST_AGE_MS = {min: 500, max: 1100};
const APPEND_MS = {min: 2, max: 120};
/** Longer than a writer waits for the result of an append. */
const HANGING_APPEND_MS = 1500;
/** Chance that an append that fails was executed nevertheless. */
const EXECUTED_CHANCE = 0.3;

/** One instance: drives a `VersionJournal` as the gateway does. */
export class JournalInstance {
  readonly services = ServiceVersions.create();
  readonly streams = StreamVersions.create();
  readonly journal: VersionJournal;
  /** Names the targets that it knows; undefined before the first read. */
  list: readonly RegisteredVersion[] | undefined;
  /** Service and version of all targets that were ever in its list. */
  readonly everListed = new Set<string>();
  /** Service and version of the sets that were saved before it read them. */
  private savedBeforeRead: ReadonlySet<string> | undefined;
  /** Versions by attempt that the journal named when it was read. */
  readAttempts = new Map<AttemptKey, Set<string>>();
  /** The versions of each service as of the last tick. */
  sets: ReadonlyMap<string, readonly string[]> = new Map();
  private nextReadAtMs: number;
  private nextListAtMs = -Infinity;
  private batch: readonly JournalRecord[] = [];
  private appendedAtMs = -Infinity;

  constructor(readonly options: JournalInstanceOptions) {
    const {id, random, isFleetBootstrap, startedAtMs} = options;
    this.nextReadAtMs = startedAtMs + random.int(0, MAX_READ_MS);
    this.journal = VersionJournal.create({
      instance: id,
      random: () => random.uniform(),
      services: this.services,
      streams: this.streams,
    });
    if (!isFleetBootstrap) return;
    this.journal.onFirstStart();
    this.savedBeforeRead = new Set();
  }

  get isServing(): boolean {
    return this.list !== undefined;
  }

  /** The sets that it must know of, as `savedVersions` of the store. */
  get savedVersions(): ReadonlySet<string> {
    return this.savedBeforeRead ?? this.options.store.savedVersions();
  }

  tick(nowMs: number): void {
    this.readList(nowMs);
    this.readJournal(nowMs);
    this.sets = this.services.sets(nowMs);
    this.journal.onServices(this.sets, nowMs);
    if (this.batch.length > 0) {
      this.endAppend(nowMs);
      return;
    }
    this.batch = this.journal.next(this.options.instanceCount, nowMs);
    if (this.batch.length > 0) this.startAppend(nowMs);
  }

  /** An append under way may still be executed. */
  kill(): void {
    const [record] = this.batch;
    if (record !== undefined) this.executeByChance(record);
  }

  /** A stream began here or at a peer. */
  onStream(attempt: AttemptKey, version: string, nowMs: number): void {
    this.streams.add(attempt, version, nowMs);
    this.journal.onStream(attempt, version, nowMs);
  }

  needOf(attempt: AttemptKey, service: string, nowMs: number): VersionNeed {
    return resumedVersionNeed({
      version: this.streams.versionOf(attempt),
      serviceVersions: this.services.of(service, nowMs),
      isHistoryKnown: this.services.isHistoryKnown(service, nowMs),
      isJournalRead: this.journal.isRead,
      isListCurrent: true,
    });
  }

  private readList(nowMs: number): void {
    if (nowMs < this.nextListAtMs || !this.options.canReachStore()) return;
    const {random, registered} = this.options;
    this.nextListAtMs = nowMs + random.int(LIST_AGE_MS.min, LIST_AGE_MS.max);
    const list = registered();
    // An unchanged list is not applied again while peers confirm it.
    if (isSame(list, this.list)) return;
    this.list = list;
    this.services.setRegistered(this.list, nowMs);
    for (const {service, version} of this.list) {
      this.everListed.add(`${service} ${version}`);
    }
  }

  private readJournal(nowMs: number): void {
    if (this.journal.isRead || nowMs < this.nextReadAtMs) return;
    this.nextReadAtMs = nowMs + READ_RETRY_MS;
    if (!this.options.canReachStore()) return;
    const reading = this.options.store.read();
    for (const record of reading.services) {
      this.journal.onRead(record, nowMs);
    }
    for (const record of reading.streams) this.journal.onRead(record, nowMs);
    this.readAttempts = versionsByAttempt(reading);
    this.journal.onReadEnd(nowMs);
    this.savedBeforeRead = this.options.store.savedVersions();
  }

  private startAppend(nowMs: number): void {
    const {random, hangingChance} = this.options;
    const durationMs = random.chance(hangingChance)
      ? HANGING_APPEND_MS
      : random.int(APPEND_MS.min, APPEND_MS.max);
    this.appendedAtMs = nowMs + durationMs;
  }

  private endAppend(nowMs: number): void {
    if (nowMs < this.appendedAtMs) return;
    const [record] = this.batch;
    if (!this.options.canReachStore()) {
      this.executeByChance(record);
      this.batch = [];
      this.journal.onFailed(nowMs);
      return;
    }
    this.options.store.append(record);
    this.journal.onSaved(record, nowMs);
    this.options.announceSaved();
    this.batch = this.batch.slice(1);
    if (this.batch.length > 0) this.startAppend(nowMs);
  }

  /**
   * Not for sets of versions: one that an instance with an old list of targets
   * saves without hearing of it replaces a newer set until the next change.
   */
  private executeByChance(record: JournalRecord): void {
    const {store, random} = this.options;
    if (record.kind !== 'streams') return;
    if (random.chance(EXECUTED_CHANCE)) store.append(record);
  }
}

function isSame(
  a: readonly RegisteredVersion[],
  b: readonly RegisteredVersion[] | undefined
): boolean {
  return a.length === b?.length && a.every((target, i) => target === b[i]);
}
