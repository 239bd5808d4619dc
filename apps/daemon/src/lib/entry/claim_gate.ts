import {match, P} from 'ts-pattern';
import {notRun, refusal} from './refusals.js';

import type {DoneRecord, RunStatus, Refusal} from '@applebend/core';
import type {Clock} from '@applebend/utils';
import type {Claim, ClaimTask} from '../claims/claim_task.js';
import type {AdmittedRequest} from './admission.js';
import type {CompleteResponse} from './response_relay.js';

/** Outcome of the wait for a claim. @public */
export type GateResult =
  | {readonly type: 'passed'}
  /** The recorded response was sent to the caller. */
  | {readonly type: 'replayed'}
  | {readonly type: 'refused'; readonly refusal: Refusal};

/**
 * Admits a non-idempotent request only with a claim of its key. Idempotent
 * requests need no claim.
 *
 * @public
 */
export class ClaimGate {
  private claim: Claim | undefined;

  private constructor(
    private readonly claims: ClaimTask,
    private readonly clock: Clock,
    private readonly request: AdmittedRequest
  ) {}

  static create(
    claims: ClaimTask,
    clock: Clock,
    request: AdmittedRequest
  ): ClaimGate {
    return new ClaimGate(claims, clock, request);
  }

  /** Whether the request has an idempotency key and so runs at most once. */
  get hasKey(): boolean {
    return this.request.idempotencyKey !== undefined;
  }

  /** Whether the claim is too old for the request to be sent. */
  get claimExpired(): boolean {
    if (this.claim === undefined) return false;
    return this.clock.monotonicMs() > this.claim.expiresAtMs;
  }

  /** Claims the key, if the request has one. */
  async acquire(): Promise<GateResult> {
    const {idempotencyKey, customer, fingerprint} = this.request;
    if (idempotencyKey === undefined) return {type: 'passed'};
    const outcome = await this.claims.claim({
      customer: customer.name,
      key: idempotencyKey,
      fingerprint,
    });
    return match(outcome)
      .returnType<GateResult>()
      .with({type: 'won', claim: P.select()}, claim => {
        this.claim = claim;
        return {type: 'passed'};
      })
      .with({type: 'done'}, ({done}) => this.replay(done))
      .with({type: 'in_progress'}, () =>
        refused(
          refusal('claim_in_progress', 'this key is being run now', 'unknown')
        )
      )
      .with({type: 'outcome_unknown'}, () =>
        refused(
          refusal(
            'claim_outcome_unknown',
            'this key was claimed, and whether it ran is not known',
            'unknown'
          )
        )
      )
      .with({type: 'key_reused'}, () =>
        refused(
          notRun('idempotency_key_reused', 'this key names another request')
        )
      )
      .with({type: 'unavailable'}, () =>
        refused(
          notRun('claim_log_unavailable', 'the claim could not be recorded')
        )
      )
      .exhaustive();
  }

  /** Records the response, to be replayed if the request is repeated. */
  recordResponse({status, contentType, body = ''}: CompleteResponse): void {
    if (this.claim === undefined) return;
    this.claims.recordResponse(this.claim.claimId, status, contentType, body);
  }

  /** Releases the claim if it is certain that the request did not run. */
  releaseIfNotRun(ran: RunStatus): void {
    if (this.claim === undefined || ran !== 'not_run') return;
    this.claims.release(this.claim.claimId);
  }

  private replay({status, contentType, body}: DoneRecord): GateResult {
    if (body === null) {
      const message = 'this key has run; its answer was too large to keep';
      return refused(refusal('claim_outcome_unknown', message, 'ran'));
    }
    const {caller} = this.request;
    caller.startResponse(status, {
      'content-type': contentType,
      'content-length': String(Buffer.byteLength(body)),
      'idempotency-replayed': 'true',
    });
    caller.end(body);
    return {type: 'replayed'};
  }
}

function refused(refusal: Refusal): GateResult {
  return {type: 'refused', refusal};
}
