import {randomBytes} from 'node:crypto';
import {match, P} from 'ts-pattern';
import {ClaimTable} from '@applebend/core';
import {sha256Hex, sleep} from '@applebend/utils';
import {CLAIM_STREAM, ClaimBatcher} from './claim_batcher.js';

import type {
  ClaimState,
  ClaimRecord,
  ClaimStreamRecord,
  DoneRecord,
} from '@applebend/core';
import type {LogPage, LogService} from '@applebend/externals';
import type {Metrics} from '@applebend/telemetry';
import type {Clock} from '@applebend/utils';

/** The right to send one request at most once. @public */
export interface Claim {
  readonly claimId: string;
  /** Latest time to send the request, by this instance's monotonic clock. */
  readonly expiresAtMs: number;
}

/** Result of a claim; the type is a metric label. @public */
export type ClaimOutcome =
  | {readonly type: 'won'; readonly claim: Claim}
  /** A live instance holds the claim for the key. */
  | {readonly type: 'in_progress'}
  /** The request has run, and its response is recorded. */
  | {readonly type: 'done'; readonly done: DoneRecord}
  /** The owner of the claim is gone and recorded no response. */
  | {readonly type: 'outcome_unknown'}
  /** The key was claimed for a different request. */
  | {readonly type: 'key_reused'}
  /** No verdict could be obtained; the request must not be sent. */
  | {readonly type: 'unavailable'};

/** The request that a claim is for. @public */
export interface ClaimRequest {
  readonly customer: string;
  /** The caller's idempotency key. */
  readonly key: string;
  /** Hash of the request; a key must not be reused for another one. */
  readonly fingerprint: string;
}

/** @public */
export interface ClaimTaskOptions {
  /** Instance and incarnation, separated by a slash. */
  readonly owner: string;
  readonly log: LogService;
  /** How long a key stays occupied after its latest claim. */
  readonly windowMs: number;
  readonly clock: Clock;
  readonly metrics: Metrics;
  /** Whether the incarnation that owns a claim is still alive. */
  readonly ownerIsAlive: (owner: string) => boolean;
}

interface PendingClaim {
  readonly record: ClaimRecord;
  readonly requestedAtMs: number;
  readonly settle: (outcome: ClaimOutcome) => void;
  readonly timer: NodeJS.Timeout;
}

const LONG_POLL_MS = 1000;
const RETRY_DELAY_MS = 200;
const VERDICT_TIMEOUT_MS = 3000;
/** No request is claimed if the log has not been read for this long. */
const MAX_READ_AGE_MS = 3000;
const CLAIM_ID_BYTES = 9;
const KEY_HASH_LENGTH = 32;
const MAX_RECORDED_BODY_CHARS = 4096;
/**
 * A request may be sent during this fraction of its claim's window. The rest
 * allows for a difference between this instance's clock and the log's.
 */
const SENDABLE_FRACTION = 0.5;

/**
 * Claims the keys of non-idempotent requests on the log. If several claims
 * compete for a key, the one with the lowest offset wins, and only its owner
 * may send the request. All instances get the same verdicts from the stream.
 *
 * @public
 */
export class ClaimTask {
  private readonly table: ClaimTable;
  private readonly batcher: ClaimBatcher;
  private readonly pending = new Map<string, PendingClaim>();
  /** Ids of own claims whose wait ended before their verdict was known. */
  private readonly abandoned = new Set<string>();
  /** Whether the stream has been read to its end. */
  private caughtUp = false;
  private lastReadMs = -Infinity;
  private readonly stopping = new AbortController();

  private constructor(private readonly options: ClaimTaskOptions) {
    this.table = ClaimTable.create(options.windowMs);
    this.batcher = ClaimBatcher.create(options.log, records =>
      this.onAppendFailed(records)
    );
  }

  static create(options: ClaimTaskOptions): ClaimTask {
    return new ClaimTask(options);
  }

  start(): void {
    void this.followLog();
  }

  stop(): void {
    this.stopping.abort();
    this.batcher.stop();
  }

  /** Resolves when all queued records are on the log, or at the timeout. */
  async flush(timeoutMs: number): Promise<void> {
    const deadlineMs = this.options.clock.monotonicMs() + timeoutMs;
    while (
      !this.batcher.idle &&
      this.options.clock.monotonicMs() < deadlineMs
    ) {
      await sleep(RETRY_DELAY_MS);
    }
  }

  /** Claims the right to send a request. */
  async claim(request: ClaimRequest): Promise<ClaimOutcome> {
    const outcome = await this.tryClaim(request);
    this.options.metrics.claims.inc({verdict: outcome.type});
    return outcome;
  }

  /** Releases a claim whose request was not sent and will not be. */
  release(claimId: string): void {
    this.batcher.add({type: 'release', claimId});
  }

  /**
   * Records the response, to be replayed if the request is repeated. A body that
   * is too long is left out of the record.
   */
  recordResponse(
    claimId: string,
    status: number,
    contentType: string,
    body: string
  ) {
    const recordedBody = body.length <= MAX_RECORDED_BODY_CHARS ? body : null;
    this.batcher.add({
      type: 'done',
      claimId,
      status,
      contentType,
      body: recordedBody,
    });
  }

  private tryClaim(request: ClaimRequest): Promise<ClaimOutcome> {
    const {customer, key, fingerprint} = request;
    const nowMs = this.options.clock.monotonicMs();
    const keyHash = sha256Hex(key).slice(0, KEY_HASH_LENGTH);
    const holder = this.table.holderOf(customer, keyHash);
    if (holder !== undefined) {
      return Promise.resolve(this.outcomeForHolder(holder, fingerprint));
    }
    if (!this.caughtUp || nowMs - this.lastReadMs > MAX_READ_AGE_MS) {
      return Promise.resolve({type: 'unavailable'});
    }
    const claimId = randomBytes(CLAIM_ID_BYTES).toString('base64url');
    const {owner} = this.options;
    const record: ClaimRecord = {
      type: 'claim',
      claimId,
      customer,
      keyHash,
      fingerprint,
      owner,
    };
    return new Promise(settle => {
      const timer = setTimeout(() => this.abandon(claimId), VERDICT_TIMEOUT_MS);
      const pending = {record, requestedAtMs: nowMs, settle, timer};
      this.pending.set(claimId, pending);
      if (!this.batcher.add(record)) this.abandon(claimId);
    });
  }

  private async followLog(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      const waitMs = this.caughtUp ? LONG_POLL_MS : 0;
      const from = this.table.nextOffset;
      const read = await this.options.log.read(CLAIM_STREAM, from, waitMs);
      if (read.ok) this.onPage(read.value);
      else await sleep(RETRY_DELAY_MS, this.stopping.signal);
    }
  }

  private onPage(page: LogPage): void {
    this.lastReadMs = this.options.clock.monotonicMs();
    this.table.skipTo(Math.min(page.earliest, page.end));
    for (const {offset, appendedAtMs, data} of page.records) {
      this.table.applyBatch(offset, appendedAtMs, data);
    }
    if (this.table.nextOffset >= page.end) this.caughtUp = true;
    for (const claimId of [...this.pending.keys()]) this.settle(claimId);
    this.releaseAbandoned();
  }

  private settle(claimId: string): void {
    const pending = this.pending.get(claimId);
    if (pending === undefined) return;
    const {record, requestedAtMs} = pending;
    const outcome = match(this.table.verdictOf(claimId))
      .with({type: 'unseen'}, () => undefined)
      .with({type: 'won'}, (): ClaimOutcome => {
        const sendableMs = this.options.windowMs * SENDABLE_FRACTION;
        const expiresAtMs = requestedAtMs + sendableMs;
        return {type: 'won', claim: {claimId, expiresAtMs}};
      })
      .with({type: 'lost', winner: P.select()}, winner =>
        this.outcomeForHolder(winner, record.fingerprint)
      )
      .exhaustive();
    if (outcome !== undefined) this.resolve(pending, outcome);
  }

  private resolve(pending: PendingClaim, outcome: ClaimOutcome): void {
    clearTimeout(pending.timer);
    this.pending.delete(pending.record.claimId);
    pending.settle(outcome);
  }

  private outcomeForHolder(
    winner: ClaimState,
    fingerprint: string
  ): ClaimOutcome {
    if (winner.claim.fingerprint !== fingerprint) return {type: 'key_reused'};
    if (winner.done !== undefined) return {type: 'done', done: winner.done};
    const alive = this.options.ownerIsAlive(winner.claim.owner);
    return {type: alive ? 'in_progress' : 'outcome_unknown'};
  }

  /** Ends the wait for a verdict; the request will not be sent. */
  private abandon(claimId: string): void {
    const pending = this.pending.get(claimId);
    if (pending === undefined) return;
    if (!this.batcher.remove(pending.record)) this.abandoned.add(claimId);
    this.resolve(pending, {type: 'unavailable'});
  }

  private onAppendFailed(records: ClaimStreamRecord[]): void {
    for (const {claimId} of records) {
      const pending = this.pending.get(claimId);
      if (pending !== undefined) this.resolve(pending, {type: 'unavailable'});
    }
  }

  /** Releases abandoned claims that were found on the log and won. */
  private releaseAbandoned(): void {
    for (const claimId of this.abandoned) {
      const verdict = this.table.verdictOf(claimId).type;
      if (verdict === 'unseen') continue;
      this.abandoned.delete(claimId);
      if (verdict === 'won') this.release(claimId);
    }
  }
}
