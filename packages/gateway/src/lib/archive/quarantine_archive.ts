import {evictOldest, sleep, systemClock} from '@applebend/utils';
import {RECORD_TOPIC} from '../ports.js';
import {decodeQuarantine, encodeQuarantine} from './quarantine_codec.js';

import type {Quarantine} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {ArchivedRecord, ArchiveError, RecordArchive} from '../ports.js';

/** @public */
export interface QuarantineArchiveOptions {
  readonly archive: RecordArchive;
  readonly log: Logger;
  /** The quarantines in force that this instance saves. */
  readonly ownQuarantines: () => readonly Quarantine[];
}

const RETRY_DELAY_MS = 2000;
/** Bounds the memory while the store is down. */
const MAX_UNSAVED = 1000;

const EMPTY = Buffer.alloc(0);

/**
 * Keeps quarantines in the archive. They are read once, at a start; later ones are
 * heard from peers. What could not be saved is saved once the archive is back,
 * and again after it was restored from an older copy.
 *
 * @public
 */
export class QuarantineArchive {
  /** Records by fingerprint, as they are to be saved. */
  private readonly unsaved = new Map<string, Buffer>();
  private saving: Promise<void> | undefined;
  private stopped = false;

  private constructor(private readonly options: QuarantineArchiveOptions) {
    options.archive.onRestored(() => this.onRestored());
  }

  static create(options: QuarantineArchiveOptions): QuarantineArchive {
    return new QuarantineArchive(options);
  }

  stop(): void {
    this.stopped = true;
  }

  /** Resolves to the quarantines in force, once they can be read. */
  async load(): Promise<Quarantine[]> {
    const {archive} = this.options;
    while (!this.stopped) {
      const newest = await archive.newest(RECORD_TOPIC.quarantines);
      if (newest.ok) return this.onRecords(newest.value.records);
      await this.pauseAfter('quarantines not readable', newest.err);
    }
    return [];
  }

  /** Resolves once it is saved. */
  save(quarantine: Quarantine): Promise<void> {
    const value = encodeQuarantine(quarantine, systemClock.wallMs());
    this.unsaved.set(quarantine.fingerprint, value);
    if (this.unsaved.size > MAX_UNSAVED) evictOldest(this.unsaved);
    this.saving ??= this.saveAll();
    return this.saving;
  }

  private onRestored(): void {
    for (const quarantine of this.options.ownQuarantines()) {
      void this.save(quarantine);
    }
  }

  private async saveAll(): Promise<void> {
    const {archive} = this.options;
    while (!this.stopped) {
      const [next] = this.unsaved;
      if (next === undefined) break;
      const [key, value] = next;
      const saved = await archive.append(RECORD_TOPIC.quarantines, key, value);
      if (!saved.ok) {
        await this.pauseAfter('quarantine not saved', saved.err);
      } else if (this.unsaved.get(key) === value) {
        this.unsaved.delete(key);
      }
    }
    this.saving = undefined;
  }

  private async pauseAfter(event: string, err: ArchiveError): Promise<void> {
    this.options.log.warn(event, {...err});
    await sleep(RETRY_DELAY_MS);
  }

  private onRecords(records: readonly ArchivedRecord[]): Quarantine[] {
    const wallMs = systemClock.wallMs();
    const current: Quarantine[] = [];
    const ended: string[] = [];
    for (const record of records) {
      const quarantine = decodeQuarantine(record, wallMs);
      if (quarantine === undefined) ended.push(record.key);
      else current.push(quarantine);
    }
    void this.removeOne(ended);
    return current;
  }

  /** One at each start, so that a fleet that starts does not write too much. */
  private async removeOne(keys: readonly string[]): Promise<void> {
    const key = keys[Math.floor(Math.random() * keys.length)];
    if (key === undefined) return;
    const {archive, log} = this.options;
    const removed = await archive.append(RECORD_TOPIC.quarantines, key, EMPTY);
    if (!removed.ok) log.warn('quarantine not removed', {...removed.err});
  }
}
