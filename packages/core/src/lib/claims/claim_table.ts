/**
 * The pure fold of the claim stream. For each key the claim with the lowest
 * offset that was neither released nor expired holds the right to run. A
 * claim's verdict is fixed at its own offset, and time is the log's, so all
 * instances that fold the same records agree without talking.
 */
import {match} from 'ts-pattern';
import {claimBatchSchema} from './claim_record.js';

import type {
  ClaimRecord,
  ClaimStreamRecord,
  DoneRecord,
} from './claim_record.js';

/** A claim and what became of it. @public */
export interface ClaimEntry {
  readonly claim: ClaimRecord;
  readonly done: DoneRecord | undefined;
  /** When the record was appended, by the log's clock. */
  readonly appendedAtMs: number;
}

interface FoldedClaim extends ClaimEntry {
  readonly key: string;
  /** The claim that held the key at this claim's offset. */
  readonly lostTo: FoldedClaim | undefined;
  done: DoneRecord | undefined;
}

/** What the stream says about one claim. @public */
export type ClaimVerdict =
  | {readonly type: 'unseen'}
  | {readonly type: 'won'}
  | {readonly type: 'lost'; readonly winner: ClaimEntry};

/** @public */
export class ClaimTable {
  /** Key to the claim that holds it. */
  private readonly holders = new Map<string, FoldedClaim>();
  /** Claim id to claim, in offset order, for the window. */
  private readonly claims = new Map<string, FoldedClaim>();
  private nextOffsetValue = 0;

  private constructor(private readonly windowMs: number) {}

  static create(windowMs: number): ClaimTable {
    return new ClaimTable(windowMs);
  }

  /** The next offset to fold. */
  get nextOffset(): number {
    return this.nextOffsetValue;
  }

  get size(): number {
    return this.claims.size;
  }

  /** Folds one log record that holds a batch. */
  fold(offset: number, appendedAtMs: number, data: unknown): void {
    if (offset < this.nextOffsetValue) return;
    this.nextOffsetValue = offset + 1;
    this.expire(appendedAtMs);
    const batch = claimBatchSchema.safeParse(data);
    if (!batch.success) return;
    for (const record of batch.data.records) this.apply(record, appendedAtMs);
  }

  /** Skips records that the log no longer keeps. */
  skipTo(offset: number): void {
    this.nextOffsetValue = Math.max(this.nextOffsetValue, offset);
  }

  /** The claim that holds a key now, if any. */
  holderOf(customer: string, keyHash: string): ClaimEntry | undefined {
    return this.holders.get(keyOf(customer, keyHash));
  }

  /** What the stream, as far as it was folded, says of a claim. */
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
    const lostTo = this.holders.get(key);
    const folded = {claim, key, lostTo, done: undefined, appendedAtMs};
    this.claims.set(claim.claimId, folded);
    if (lostTo === undefined) this.holders.set(key, folded);
  }

  private onRelease(claimId: string): void {
    const claim = this.claims.get(claimId);
    if (claim === undefined) return;
    if (this.holders.get(claim.key) === claim) this.holders.delete(claim.key);
  }

  private onDone(done: DoneRecord): void {
    const claim = this.claims.get(done.claimId);
    if (claim !== undefined) claim.done = done;
  }

  private expire(logNowMs: number): void {
    for (const [claimId, claim] of this.claims) {
      if (logNowMs - claim.appendedAtMs <= this.windowMs) return;
      this.claims.delete(claimId);
      if (this.holders.get(claim.key) === claim) this.holders.delete(claim.key);
    }
  }
}

function keyOf(customer: string, keyHash: string): string {
  return `${customer}\u0000${keyHash}`;
}
