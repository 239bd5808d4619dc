/**
 * The pure fold of the claim stream. A claim wins when its key is free, and a
 * key stays taken until its winner releases it or no claim for it has come for
 * a whole window. A claim's verdict is fixed at its own offset, and time is
 * the log's, so all instances that fold the same records agree without
 * talking. Since a losing claim renews the window too, a reader that starts in
 * the middle of the log can take a loser for the holder, but never a taken key
 * for a free one, once it has read a whole window.
 */
import {match} from 'ts-pattern';
import {claimBatchSchema} from './claim_record.js';

import type {
  ClaimRecord,
  ClaimStreamRecord,
  DoneRecord,
} from './claim_record.js';

/** A claim and what became of it. @public */
export interface ClaimState {
  readonly claim: ClaimRecord;
  readonly done: DoneRecord | undefined;
  /** When the record was appended, by the log's clock. */
  readonly appendedAtMs: number;
}

interface AppliedClaim extends ClaimState {
  readonly key: string;
  /** The claim that held the key at this claim's offset. */
  readonly lostTo: AppliedClaim | undefined;
  done: DoneRecord | undefined;
}

interface HeldKey {
  readonly holder: AppliedClaim;
  /** When a claim for the key was last made, by the log's clock. */
  readonly renewedAtMs: number;
}

/** What the stream says about one claim. @public */
export type ClaimVerdict =
  | {readonly type: 'unseen'}
  | {readonly type: 'won'}
  | {readonly type: 'lost'; readonly winner: ClaimState};

/** @public */
export class ClaimTable {
  /** Key to the claim that holds it, least recently renewed first. */
  private readonly heldKeys = new Map<string, HeldKey>();
  /** Claim id to claim, in offset order, for the window. */
  private readonly claims = new Map<string, AppliedClaim>();
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
  applyBatch(offset: number, appendedAtMs: number, data: unknown): void {
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
  holderOf(customer: string, keyHash: string): ClaimState | undefined {
    return this.heldKeys.get(keyOf(customer, keyHash))?.holder;
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
    const lostTo = this.heldKeys.get(key)?.holder;
    const applied = {claim, key, lostTo, done: undefined, appendedAtMs};
    this.claims.set(claim.claimId, applied);
    this.heldKeys.delete(key);
    this.heldKeys.set(key, {
      holder: lostTo ?? applied,
      renewedAtMs: appendedAtMs,
    });
  }

  private onRelease(claimId: string): void {
    const claim = this.claims.get(claimId);
    if (claim === undefined) return;
    if (this.heldKeys.get(claim.key)?.holder === claim)
      this.heldKeys.delete(claim.key);
  }

  private onDone(done: DoneRecord): void {
    const claim = this.claims.get(done.claimId);
    if (claim !== undefined) claim.done = done;
  }

  private expire(logNowMs: number): void {
    for (const [key, {renewedAtMs}] of this.heldKeys) {
      if (logNowMs - renewedAtMs <= this.windowMs) break;
      this.heldKeys.delete(key);
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
