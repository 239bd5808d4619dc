import {z} from 'zod';
import {evictOldest, sleep} from '@applebend/utils';

import type {TargetLoss} from '@applebend/core';
import type {LogService} from '@applebend/externals';

/** @public */
export interface LossTaskOptions {
  readonly log: LogService;
  /** Sends a loss to all peers. */
  readonly broadcastLoss: (loss: TargetLoss) => void;
  /** Called once for each new loss. */
  readonly onLoss: (loss: TargetLoss) => void;
}

const MAX_KNOWN_LOSSES = 20_000;

const LOSS_STREAM = 'losses';
const LONG_POLL_MS = 2000;
const RETRY_DELAY_MS = 500;

const lossSchema = z.strictObject({
  fingerprint: z.string().max(64),
  target: z.string().max(128),
  seenAtMs: z.number(),
});

/**
 * Shares which requests were running when a target was lost, with peers and
 * through the log, so that the quarantine of a request that crashes targets
 * survives restarts.
 *
 * @public
 */
export class LossTask {
  /** Known losses, oldest first; also needed by cells created later. */
  private readonly losses = new Map<string, TargetLoss>();
  private nextOffset = 0;
  private caughtUp = false;
  private logUnavailable = false;
  private readonly stopping = new AbortController();

  private constructor(private readonly options: LossTaskOptions) {}

  static create(options: LossTaskOptions): LossTask {
    return new LossTask(options);
  }

  /** Whether the log was read to its end or is unavailable now. */
  get ready(): boolean {
    return this.caughtUp || this.logUnavailable;
  }

  /** Losses seen here, received from peers or read from the log. */
  get knownLosses(): readonly TargetLoss[] {
    return [...this.losses.values()];
  }

  start(): void {
    void this.followLog();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Reports a loss; returns whether the log has recorded it. */
  async report(loss: TargetLoss): Promise<boolean> {
    this.options.broadcastLoss(loss);
    this.addLoss(loss);
    const appended = await this.options.log.append(LOSS_STREAM, loss);
    return appended.ok;
  }

  /** Adds a loss if it is not known yet. */
  addLoss(loss: TargetLoss): void {
    const key = `${loss.fingerprint} ${loss.target} ${loss.seenAtMs}`;
    if (this.losses.has(key)) return;
    this.losses.set(key, loss);
    if (this.losses.size > MAX_KNOWN_LOSSES) evictOldest(this.losses);
    this.options.onLoss(loss);
  }

  private async followLog(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const waitMs = this.caughtUp ? LONG_POLL_MS : 0;
      const read = await this.options.log.read(
        LOSS_STREAM,
        this.nextOffset,
        waitMs
      );
      this.logUnavailable = !read.ok;
      if (!read.ok) {
        await sleep(RETRY_DELAY_MS, this.stopping.signal);
        continue;
      }
      const {records, earliest, end} = read.value;
      this.nextOffset = Math.max(this.nextOffset, earliest);
      for (const {offset, data} of records) {
        this.nextOffset = offset + 1;
        const loss = lossSchema.safeParse(data);
        if (loss.success) this.addLoss(loss.data);
      }
      if (this.nextOffset >= end) this.caughtUp = true;
    }
  }
}
