import {ListFreshness, TargetReports} from '@applebend/routing';
import {sleep, systemClock} from '@applebend/utils';
import {STORE_SIGN} from './store_contact.js';
import {targetListKey} from './target_list_key.js';
import {readWithHistory} from './target_list_store.js';

import type {TargetList, TargetRecordEntry} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {
  ConfirmedState,
  StateSourceCallbacks,
  TargetListStamp,
} from '../ports.js';
import type {StoreContact} from './store_contact.js';
import type {TargetListStore, TargetRecords} from './target_list_store.js';

/** @public */
export interface TargetListFollowerOptions {
  readonly store: TargetListStore;
  readonly contact: StoreContact;
  readonly callbacks: StateSourceCallbacks;
  readonly log: Logger;
  /** Age of the list up to which requests are sent by it. */
  readonly maxListAgeMs: number;
}

/** Range of ages at which an instance reads the target list again. */
const MIN_READ_AGE_MS = 500;
const MAX_READ_AGE_MS = 1100;
/** Age at which an unconfirmed target list is read if reads are shared. */
const SHARED_READ_AGE_MS = 1700;
/** It is read at least this long before no request is sent by it. */
const READ_MARGIN_MS = 200;
/** Age up to which a list that was read here confirms those of the members. */
const MAX_CONFIRMING_AGE_MS = 450;
/** Interval at which the target list's age is checked. */
const POLL_MS = 100;
/** Reported instead of a greater or infinite age; too old to save a read. */
const MAX_REPORTED_AGE_MS = 1e9;
/** More records than have been written in this time are not read one by one. */
const MAX_BACKLOG_MS = 15_000;

/**
 * Follows the registrations of the targets. It reads every record that was
 * written, not only the newest ones: an older report may have replaced a newer
 * one before anybody read it.
 *
 * @public
 */
export class TargetListFollower {
  private readonly freshness = ListFreshness.create({
    minReadAgeMs: MIN_READ_AGE_MS,
    maxReadAgeMs: MAX_READ_AGE_MS,
    random: Math.random,
  });
  private readonly reports = TargetReports.create();
  private stopped = false;
  /** Key of the targets in use, which may hold more than the last read. */
  private targetsKey = 0;
  /** When the read that gave the current targets was sent. */
  private readAtMs = -Infinity;
  /** When this instance last sent a read, whether or not it succeeded. */
  private ownReadAtMs = -Infinity;
  /** Offset of the next record; unknown at first, and in a new era. */
  private offset: number | undefined;
  /** When a read, here or by a peer, last ended at that offset. */
  private offsetAtMs = -Infinity;
  private restoredBefore = 0;
  private isRestored = false;
  /** The read that is under way, for callers that share it. */
  private refreshing: Promise<boolean> | undefined;

  private constructor(private readonly options: TargetListFollowerOptions) {
    options.store.onNewEra(() => this.onNewEra());
  }

  static create(options: TargetListFollowerOptions): TargetListFollower {
    return new TargetListFollower(options);
  }

  get contentKey(): number {
    return this.targetsKey;
  }

  /** The time since the read that gave the present list was sent. */
  get ageMs(): number {
    return systemClock.monotonicMs() - this.readAtMs;
  }

  /** The time since a read, here or by a peer, that showed the same list. */
  get confirmedAgeMs(): number {
    return this.freshness.ageMs(systemClock.monotonicMs());
  }

  /**
   * Whether requests may be sent by the list: it is recent, or the store lost.
   *
   * @param allowanceMs - by which the list may be older
   */
  isCurrent(allowanceMs: number): boolean {
    const {maxListAgeMs, contact} = this.options;
    const maxAgeMs = maxListAgeMs + allowanceMs;
    return this.confirmedAgeMs <= maxAgeMs || contact.isLost;
  }

  /** Identity and age of the last read, for peers that read for themselves. */
  get stamp(): TargetListStamp {
    const ageMs = this.freshness.ownReadAgeMs(systemClock.monotonicMs());
    const key = this.freshness.contentKey;
    // The offset is that of the last read here, and not of a confirmation.
    const isOwnOffset = this.offsetAtMs === this.readAtMs;
    return {
      key,
      ageMs: Math.min(ageMs, MAX_REPORTED_AGE_MS),
      next: isOwnOffset ? this.offset : undefined,
    };
  }

  get list(): TargetList {
    return {
      targets: this.reports.targets,
      storeEra: this.options.store.era,
      restoredBefore: this.restoredBefore,
    };
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.isReadDue(systemClock.monotonicMs())) await this.refresh();
      else await sleep(POLL_MS);
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Called when a peer has read the list in the present era of the store. */
  onPeerStamp({key, ageMs, next}: TargetListStamp): void {
    const {freshness, reports, options} = this;
    const nowMs = systemClock.monotonicMs();
    options.contact.onPeerRead(nowMs - ageMs);
    // A peer's list lacks the missing targets that are kept here, so it cannot
    // replace the read that removes them.
    if (reports.hasMissing) return;
    freshness.onPeerRead(key, ageMs, nowMs);
    if (key !== freshness.contentKey || reports.hasCold) return;
    // What the peer has read up to there leads to the list that is held here,
    // but for renewals, which only cold targets need.
    if (next !== undefined && next >= (this.offset ?? Infinity)) {
      this.offset = next;
      this.offsetAtMs = Math.max(this.offsetAtMs, nowMs - ageMs);
    }
  }

  /** Reads the list unless it was read a moment ago; returns whether it is. */
  async readIfOld(): Promise<boolean> {
    return this.ageMs <= MAX_CONFIRMING_AGE_MS || this.read();
  }

  /** Reads the list; calls while it is read share that read. */
  refresh(): Promise<boolean> {
    this.refreshing ??= this.read().finally(
      () => (this.refreshing = undefined)
    );
    return this.refreshing;
  }

  /**
   * Applies a peer's target list as if it had been read here. Returns false if
   * the peer did not send the list and it differs from the one held, or missing
   * targets are still kept here.
   */
  onPeerConfirmation(state: ConfirmedState, requestedAtMs: number): boolean {
    const {targetsKey, targets, targetsAgeMs, restoredBefore} = state;
    const readAtMs = requestedAtMs - targetsAgeMs;
    if (targetsKey === this.contentKey && !this.reports.hasMissing) {
      this.readAtMs = Math.max(this.readAtMs, readAtMs);
      this.freshness.onRead(this.freshness.contentKey, this.readAtMs);
      return true;
    }
    if (targets === undefined) return false;
    this.restoredBefore = restoredBefore;
    this.isRestored = false;
    if (readAtMs < this.readAtMs) return true;
    this.offset = undefined;
    const nowMs = systemClock.monotonicMs();
    this.reports.adopt(targets, this.keepsMissing(readAtMs), nowMs);
    this.onApplied(readAtMs);
    return true;
  }

  private get sharedReadAgeMs(): number {
    const {maxListAgeMs} = this.options;
    return Math.min(SHARED_READ_AGE_MS, maxListAgeMs - READ_MARGIN_MS);
  }

  private async read(): Promise<boolean> {
    const {store, contact} = this.options;
    const sentAtMs = systemClock.monotonicMs();
    this.ownReadAtMs = sentAtMs;
    const from = this.offsetToReadFrom(sentAtMs);
    const read =
      from === undefined
        ? await readWithHistory(store)
        : await store.readSince(from);
    if (!read.ok) {
      const isListNeeded = read.err.kind === 'history_gone';
      if (isListNeeded) this.offset = undefined;
      else await contact.onError(read.err);
      return isListNeeded && from !== undefined ? this.read() : false;
    }
    contact.onResponse(STORE_SIGN.targets);
    this.onRead(read.value, from, sentAtMs);
    return true;
  }

  /**
   * Undefined if the whole list has to be read: at first, after long, and to
   * see which of the missing targets are gone.
   */
  private offsetToReadFrom(nowMs: number): number | undefined {
    if (nowMs - this.offsetAtMs > MAX_BACKLOG_MS) return undefined;
    return this.reports.hasMissing ? undefined : this.offset;
  }

  /**
   * Applies a read, unless it was sent before the read that was applied last.
   *
   * @param from - undefined if the whole list was read
   */
  private onRead(
    {entries, next}: TargetRecords,
    from: number | undefined,
    sentAtMs: number
  ): void {
    // What is written from the first read in an era on is renewed in it.
    if (this.isRestored) this.restoredBefore = next;
    this.isRestored = false;
    if (sentAtMs < this.readAtMs) return;
    const {reports} = this;
    const nowMs = systemClock.monotonicMs();
    const keepsMissing = this.keepsMissing(sentAtMs);
    const older =
      from === undefined
        ? reports.onList(entries, keepsMissing, nowMs)
        : reports.onRecords(entries, keepsMissing, nowMs);
    for (const entry of older) this.logOlder(entry);
    this.offset = Math.max(next, from ?? 0);
    this.offsetAtMs = sentAtMs;
    this.onApplied(sentAtMs);
  }

  private keepsMissing(sentAtMs: number): boolean {
    return sentAtMs < this.options.contact.graceEndsAtMs;
  }

  private onApplied(readAtMs: number): void {
    const {reports, options} = this;
    this.readAtMs = readAtMs;
    const {reportedAgain} = reports;
    const listedKey = targetListKey(reports.listedTargets, reportedAgain);
    this.freshness.onRead(listedKey, readAtMs);
    this.targetsKey = reports.hasMissing
      ? targetListKey(reports.targets, reportedAgain)
      : listedKey;
    options.callbacks.onTargets(this.list);
  }

  private logOlder({id, report}: TargetRecordEntry): void {
    const {state, registeredAt} = report?.target ?? {};
    const {sequence} = report ?? {};
    const fields = {target: id, state, sequence, registeredAt};
    this.options.log.warn('older registration ignored', fields);
  }

  private onNewEra(): void {
    this.options.contact.onNewEra();
    this.offset = undefined;
    this.isRestored = true;
    this.restoredBefore = Infinity;
  }

  /**
   * Returns whether the targets have to be read: at once when the grace for
   * missing ones has ended, otherwise by the age of the list. The content key does
   * not tell of renewals, so while these are needed no peer's read replaces one.
   */
  private isReadDue(nowMs: number): boolean {
    const {callbacks, contact} = this.options;
    const {hasMissing, targets} = this.reports;
    if (hasMissing && nowMs >= contact.graceEndsAtMs) return true;
    const isOwnReadOld = nowMs - this.ownReadAtMs >= MAX_READ_AGE_MS;
    if (isOwnReadOld && !contact.isLost && callbacks.needsRenewals()) {
      return true;
    }
    const isShared = targets.length > 0 && callbacks.usesPeerConfirmations();
    if (isShared) {
      // In an outage the retried confirmations read the targets, too.
      const isOld = this.freshness.ageMs(nowMs) >= this.sharedReadAgeMs;
      return !contact.isLost && isOld;
    }
    return this.freshness.isReadDue(nowMs);
  }
}
