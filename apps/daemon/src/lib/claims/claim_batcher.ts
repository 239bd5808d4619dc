import {sleep} from '@applebend/utils';

import type {ClaimStreamRecord} from '@applebend/core';
import type {LogService} from '@applebend/externals';

/** The log stream of claim records. @public */
export const CLAIM_STREAM = 'claims';

const MIN_APPEND_INTERVAL_MS = 40;
const RETRY_DELAY_MS = 250;
const MAX_BATCH_RECORDS = 256;
const MAX_QUEUED_RECORDS = 20_000;

/**
 * Appends claim records in batches, one append at a time; records that arrive
 * during an append go into the next. This keeps the number of appends within
 * the log's limit at any request rate.
 *
 * @public
 */
export class ClaimBatcher {
  private queue: ClaimStreamRecord[] = [];
  private running = false;
  private readonly stopping = new AbortController();

  private constructor(
    private readonly log: LogService,
    private readonly onAppendFailed: (records: ClaimStreamRecord[]) => void
  ) {}

  /** `onAppendFailed` gets the claims that are certain not to be on the log. */
  static create(
    log: LogService,
    onAppendFailed: (records: ClaimStreamRecord[]) => void
  ): ClaimBatcher {
    return new ClaimBatcher(log, onAppendFailed);
  }

  /** Adds a record to the next batch; returns false if the queue is full. */
  add(record: ClaimStreamRecord): boolean {
    if (this.queue.length >= MAX_QUEUED_RECORDS) return false;
    this.queue.push(record);
    if (!this.running) void this.run();
    return true;
  }

  /** Removes a queued record; returns false if it may be on the log already. */
  remove(record: ClaimStreamRecord): boolean {
    const index = this.queue.indexOf(record);
    if (index >= 0) this.queue.splice(index, 1);
    return index >= 0;
  }

  /** Whether no record is queued or being appended. */
  get idle(): boolean {
    return !this.running && this.queue.length === 0;
  }

  stop(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    this.running = true;
    // Records that are added in the same turn go into the first batch.
    await Promise.resolve();
    while (this.queue.length > 0 && !this.stopping.signal.aborted) {
      const records = this.queue.splice(0, MAX_BATCH_RECORDS);
      const appended = await this.log.append(CLAIM_STREAM, {records});
      if (!appended.ok) {
        this.onFailure(records, appended.err.kind !== 'append_unknown');
        await sleep(RETRY_DELAY_MS, this.stopping.signal);
      }
      await sleep(MIN_APPEND_INTERVAL_MS, this.stopping.signal);
    }
    this.running = false;
  }

  /**
   * Claims are not retried, because their callers are waiting. Releases and
   * recorded responses are idempotent and are retried until the log has them.
   * `noEffect` is false if the records may be on the log despite the failure.
   */
  private onFailure(records: ClaimStreamRecord[], noEffect: boolean): void {
    const retried = records.filter(record => record.type !== 'claim');
    this.queue.unshift(...retried);
    if (!noEffect) return;
    const claims = records.filter(record => record.type === 'claim');
    if (claims.length > 0) this.onAppendFailed(claims);
  }
}
