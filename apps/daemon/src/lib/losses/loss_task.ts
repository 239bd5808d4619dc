/**
 * Tells the fleet which requests were running when a target was lost, and
 * keeps that on the log, so that a quarantine survives restarts.
 */
import {z} from 'zod';
import {sleep} from '@applebend/utils';

import type {TargetLoss} from '@applebend/core';
import type {LogService} from '@applebend/externals';

/** What the task is made from. @public */
export interface LossTaskOptions {
  readonly log: LogService;
  /** Tells all peers. */
  readonly broadcastLoss: (loss: TargetLoss) => void;
  /** Tells the cells here. */
  readonly onLoss: (loss: TargetLoss) => void;
}

const MAX_KNOWN_LOSSES = 20_000;

const LOSS_STREAM = 'losses';
const READ_POLL_MS = 2000;
const RETRY_DELAY_MS = 500;

const lossSchema = z.strictObject({
  fingerprint: z.string().max(64),
  target: z.string().max(128),
  seenAtMs: z.number(),
});

/** @public */
export class LossTask {
  /** For cells that are made later; oldest first. */
  private readonly losses = new Map<string, TargetLoss>();
  private nextOffset = 0;
  private caughtUp = false;
  private logUnavailable = false;
  private readonly stopping = new AbortController();

  private constructor(private readonly options: LossTaskOptions) {}

  static create(options: LossTaskOptions): LossTask {
    return new LossTask(options);
  }

  /** Whether the log was read once, or cannot be read at the moment. */
  get ready(): boolean {
    return this.caughtUp || this.logUnavailable;
  }

  /** Every loss that was heard of, from the log or from peers. */
  get knownLosses(): readonly TargetLoss[] {
    return [...this.losses.values()];
  }

  start(): void {
    void this.followLog();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Reports a loss; true once the log keeps it. */
  async report(loss: TargetLoss): Promise<boolean> {
    this.options.broadcastLoss(loss);
    this.addLoss(loss);
    const appended = await this.options.log.append(LOSS_STREAM, loss);
    return appended.ok;
  }

  /** Takes in a loss that was seen here, by a peer or on the log. */
  addLoss(loss: TargetLoss): void {
    const key = `${loss.fingerprint} ${loss.target} ${loss.seenAtMs}`;
    if (this.losses.has(key)) return;
    this.losses.set(key, loss);
    if (this.losses.size > MAX_KNOWN_LOSSES) this.evictOldest();
    this.options.onLoss(loss);
  }

  private evictOldest(): void {
    for (const key of this.losses.keys()) {
      this.losses.delete(key);
      return;
    }
  }

  private async followLog(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const waitMs = this.caughtUp ? READ_POLL_MS : 0;
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
