import {sleep, systemClock} from '@applebend/utils';
import {RECORD_TOPIC} from '../ports.js';
import {decodeQuarantine, encodeQuarantine} from './quarantine_codec.js';

import type {Quarantine} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {Result} from '@applebend/utils';
import type {ArchivedRecord, ArchiveError, RecordArchive} from '../ports.js';

const MAX_TRIES = 5;
const RETRY_DELAY_MS = 2000;

const EMPTY = Buffer.alloc(0);

/**
 * Keeps quarantines in the archive. They are read once, at a start; later ones are
 * heard from peers.
 *
 * @public
 */
export class QuarantineArchive {
  private stopped = false;

  private constructor(
    private readonly archive: RecordArchive,
    private readonly log: Logger
  ) {}

  static create(archive: RecordArchive, log: Logger): QuarantineArchive {
    return new QuarantineArchive(archive, log);
  }

  stop(): void {
    this.stopped = true;
  }

  /** Resolves to the quarantines in force; to none if they cannot be read. */
  async load(): Promise<Quarantine[]> {
    const newest = await this.retried('quarantines not readable', () =>
      this.archive.newest(RECORD_TOPIC.quarantines)
    );
    return newest === undefined ? [] : this.onRecords(newest.records);
  }

  async save(quarantine: Quarantine): Promise<void> {
    const value = encodeQuarantine(quarantine, systemClock.wallMs());
    await this.retried('quarantine not saved', () =>
      this.archive.append(
        RECORD_TOPIC.quarantines,
        quarantine.fingerprint,
        value
      )
    );
  }

  /** Resolves to undefined if no try succeeded; logs each failure. */
  private async retried<T>(
    failureEvent: string,
    call: () => Promise<Result<T, ArchiveError>>
  ): Promise<T | undefined> {
    for (let tries = 0; tries < MAX_TRIES && !this.stopped; tries++) {
      const result = await call();
      if (result.ok) return result.value;
      this.log.warn(failureEvent, {...result.err});
      await sleep(RETRY_DELAY_MS);
    }
    return undefined;
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
    const {archive} = this;
    const removed = await archive.append(RECORD_TOPIC.quarantines, key, EMPTY);
    if (!removed.ok) this.log.warn('quarantine not removed', {...removed.err});
  }
}
