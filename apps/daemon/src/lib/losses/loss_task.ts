/**
 * Tells the fleet which requests were running when a target was lost, and
 * keeps that on the log, so that a quarantine survives restarts.
 */
import {z} from 'zod';
import {sleep} from '@applebend/utils';

import type {TargetLoss} from '@applebend/core';
import type {LogService} from '@applebend/externals';

/** What the task is made from. @public */
export interface LossTaskParts {
  readonly log: LogService;
  /** Tells all peers. */
  readonly tellPeers: (loss: TargetLoss) => void;
  /** Tells the cells here. */
  readonly onLoss: (loss: TargetLoss) => void;
}

const MAX_KNOWN = 20_000;

const LOSS_STREAM = 'losses';
const READ_WAIT_MS = 2000;
const RETRY_MS = 500;

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
  private replayed = false;
  private unreachable = false;
  private readonly stopping = new AbortController();

  private constructor(private readonly parts: LossTaskParts) {}

  static create(parts: LossTaskParts): LossTask {
    return new LossTask(parts);
  }

  /** Whether the log was read once, or cannot be read at the moment. */
  get ready(): boolean {
    return this.replayed || this.unreachable;
  }

  /** Every loss that was heard of, from the log or from peers. */
  get known(): readonly TargetLoss[] {
    return [...this.losses.values()];
  }

  start(): void {
    void this.follow();
  }

  stop(): void {
    this.stopping.abort();
  }

  /** Reports a loss; true once the log keeps it. */
  async report(loss: TargetLoss): Promise<boolean> {
    this.parts.tellPeers(loss);
    this.note(loss);
    const appended = await this.parts.log.append(LOSS_STREAM, loss);
    return appended.ok;
  }

  /** Takes in a loss that was seen here, by a peer or on the log. */
  note(loss: TargetLoss): void {
    const key = `${loss.fingerprint} ${loss.target} ${loss.seenAtMs}`;
    if (this.losses.has(key)) return;
    this.losses.set(key, loss);
    if (this.losses.size > MAX_KNOWN) this.forgetOldest();
    this.parts.onLoss(loss);
  }

  private forgetOldest(): void {
    for (const key of this.losses.keys()) {
      this.losses.delete(key);
      return;
    }
  }

  private async follow(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const waitMs = this.replayed ? READ_WAIT_MS : 0;
      const read = await this.parts.log.read(
        LOSS_STREAM,
        this.nextOffset,
        waitMs
      );
      this.unreachable = !read.ok;
      if (!read.ok) {
        await sleep(RETRY_MS, this.stopping.signal);
        continue;
      }
      const {records, earliest, end} = read.value;
      this.nextOffset = Math.max(this.nextOffset, earliest);
      for (const {offset, data} of records) {
        this.nextOffset = offset + 1;
        const loss = lossSchema.safeParse(data);
        if (loss.success) this.note(loss.data);
      }
      if (this.nextOffset >= end) this.replayed = true;
    }
  }
}
