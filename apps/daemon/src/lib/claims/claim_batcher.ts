/**
 * Appends claim records in shared batches: one append at a time, with
 * everything that came meanwhile in the next, so that the fleet's appends
 * stay within the log's limit however many requests claim.
 */
import {sleep} from '@applebend/utils';

import type {ClaimStreamRecord} from '@applebend/core';
import type {LogService} from '@applebend/externals';

/** The stream that claims lie on. @public */
export const CLAIM_STREAM = 'claims';

const MIN_APPEND_INTERVAL_MS = 40;
const RETRY_DELAY_MS = 250;
const MAX_BATCH_RECORDS = 256;
const MAX_QUEUED_RECORDS = 20_000;

/** @public */
export class ClaimBatcher {
  private queue: ClaimStreamRecord[] = [];
  private running = false;
  private readonly stopping = new AbortController();

  private constructor(
    private readonly log: LogService,
    private readonly onAppendFailed: (records: ClaimStreamRecord[]) => void
  ) {}

  /** `onAppendFailed` gets records whose append surely had no effect. */
  static create(
    log: LogService,
    onAppendFailed: (records: ClaimStreamRecord[]) => void
  ): ClaimBatcher {
    return new ClaimBatcher(log, onAppendFailed);
  }

  /** Puts a record into the next batch; false when too many wait. */
  add(record: ClaimStreamRecord): boolean {
    if (this.queue.length >= MAX_QUEUED_RECORDS) return false;
    this.queue.push(record);
    if (!this.running) void this.run();
    return true;
  }

  /** Takes a record back that was not handed to the log yet. */
  remove(record: ClaimStreamRecord): boolean {
    const index = this.queue.indexOf(record);
    if (index >= 0) this.queue.splice(index, 1);
    return index >= 0;
  }

  /** Whether nothing waits to be appended. */
  get idle(): boolean {
    return !this.running && this.queue.length === 0;
  }

  stop(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    this.running = true;
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
   * Claims whose append failed are given up, since their callers want an
   * answer now. Releases and results change nothing when they are appended
   * twice, so they are tried until they are on the log.
   */
  private onFailure(records: ClaimStreamRecord[], noEffect: boolean): void {
    const retried = records.filter(record => record.type !== 'claim');
    this.queue.unshift(...retried);
    if (!noEffect) return;
    const claims = records.filter(record => record.type === 'claim');
    if (claims.length > 0) this.onAppendFailed(claims);
  }
}
