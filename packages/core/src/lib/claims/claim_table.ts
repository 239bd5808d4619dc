import {match} from 'ts-pattern';
import {claimBatchSchema} from './claim_record.js';

import type {
  ClaimRecord,
  ClaimStreamRecord,
  DoneRecord,
} from './claim_record.js';

/** A claim and the response of its request. @public */
export interface ClaimState {
  readonly claim: ClaimRecord;
  /** Undefined until the owner has recorded the response. */
  readonly done: DoneRecord | undefined;
  /** When the claim was appended, by the log's clock. */
  readonly appendedAtMs: number;
}

interface AppliedClaim extends ClaimState {
  readonly key: string;
  /** The claim that held the key at this offset; undefined if this one won. */
  readonly lostTo: AppliedClaim | undefined;
  done: DoneRecord | undefined;
}

interface HeldKey {
  /** The winning claim. */
  readonly holder: AppliedClaim;
  /** When the latest claim for the key was appended, by the log's clock. */
  readonly renewedAtMs: number;
}

/**
 * Verdict on one claim: `unseen` if no record of it is in the table, `won` if
 * its owner may send the request, `lost` if another claim held the key.
 *
 * @public
 */
export type ClaimVerdict =
  | {readonly type: 'unseen'}
  | {readonly type: 'won'}
  | {readonly type: 'lost'; readonly winner: ClaimState};

/**
 * Decides which claim may run a request, from the records of the claim stream.
 * A claim wins if its key is free. The key then stays occupied until the winner
 * releases it, or until no claim for it has been appended for a full window.
 *
 * A claim's verdict depends only on the records up to its own offset and on the
 * log's timestamps, so all instances that read the same records agree without
 * further messages. Losing claims renew the window as well. A reader that
 * starts in the middle of the log may therefore take a losing claim for the
 * holder, but once it has read a full window it never takes an occupied key for
 * a free one.
 *
 * @public
 */
export class ClaimTable {
  /** Occupied keys, least recently renewed first. */
  private readonly keys = new Map<string, HeldKey>();
  /** Claims of the last window by id, in offset order. */
  private readonly claims = new Map<string, AppliedClaim>();
  private nextOffsetValue = 0;

  private constructor(private readonly windowMs: number) {}

  /** `windowMs` is how long a key stays occupied after its latest claim. */
  static create(windowMs: number): ClaimTable {
    return new ClaimTable(windowMs);
  }

  /** Offset of the next record to apply. */
  get nextOffset(): number {
    return this.nextOffsetValue;
  }

  /** Number of claims in the window. */
  get size(): number {
    return this.claims.size;
  }

  /**
   * Applies one log record, which holds a batch of claim records. Ignores
   * offsets that were applied before and data that is no valid batch.
   */
  applyBatch(offset: number, appendedAtMs: number, data: unknown): void {
    if (offset < this.nextOffsetValue) return;
    this.nextOffsetValue = offset + 1;
    this.expire(appendedAtMs);
    const batch = claimBatchSchema.safeParse(data);
    if (!batch.success) return;
    for (const record of batch.data.records) this.apply(record, appendedAtMs);
  }

  /** Skips records that the log no longer retains. */
  skipTo(offset: number): void {
    this.nextOffsetValue = Math.max(this.nextOffsetValue, offset);
  }

  /** Returns the claim that holds the key now, or undefined if it is free. */
  holderOf(customer: string, keyHash: string): ClaimState | undefined {
    return this.keys.get(keyOf(customer, keyHash))?.holder;
  }

  /** Returns the verdict on a claim from the records applied so far. */
  verdictOf(claimId: string): ClaimVerdict {
    const claim = this.claims.get(claimId);
    if (claim === undefined) return {type: 'unseen'};
    if (claim.lostTo === undefined) return {type: 'won'};
    return {type: 'lost', winner: claim.lostTo};
  }

  private apply(record: ClaimStreamRecord, atMs: number): void {
    match(record)
      .with({type: 'claim'}, claim => this.onClaim(claim, atMs))
      .with({type: 'release'}, ({claimId}) => this.onRelease(claimId))
      .with({type: 'done'}, done => this.onDone(done))
      .exhaustive();
  }

  private onClaim(claim: ClaimRecord, appendedAtMs: number): void {
    if (this.claims.has(claim.claimId)) return;
    const key = keyOf(claim.customer, claim.keyHash);
    const lostTo = this.keys.get(key)?.holder;
    const applied = {claim, key, lostTo, done: undefined, appendedAtMs};
    this.claims.set(claim.claimId, applied);
    this.keys.delete(key);
    this.keys.set(key, {
      holder: lostTo ?? applied,
      renewedAtMs: appendedAtMs,
    });
  }

  private onRelease(claimId: string): void {
    const claim = this.claims.get(claimId);
    if (claim === undefined) return;
    if (this.keys.get(claim.key)?.holder === claim) this.keys.delete(claim.key);
  }

  private onDone(done: DoneRecord): void {
    const claim = this.claims.get(done.claimId);
    if (claim !== undefined) claim.done = done;
  }

  private expire(logNowMs: number): void {
    for (const [key, {renewedAtMs}] of this.keys) {
      if (logNowMs - renewedAtMs <= this.windowMs) break;
      this.keys.delete(key);
    }
    for (const [claimId, claim] of this.claims) {
      if (logNowMs - claim.appendedAtMs <= this.windowMs) break;
      this.claims.delete(claimId);
    }
  }
}

function keyOf(customer: string, keyHash: string): string {
  return `${customer}\u0000${keyHash}`;
}
