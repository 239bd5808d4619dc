import {match} from 'ts-pattern';
import {fail, ok} from '@applebend/utils';

import type {Result} from '@applebend/utils';

/** Phases of a request. @public */
export const REQUEST_PHASE = {
  received: 'received',
  /** Waits for the claim of its idempotency key. */
  claiming: 'claiming',
  /** Waits for a slot. */
  queued: 'queued',
  /** Has a slot; nothing was sent to its target yet. */
  granted: 'granted',
  /** Sending to the target has begun. */
  sent: 'sent',
  /** The response to the caller has begun. */
  responding: 'responding',
  ended: 'ended',
} as const;

/** @public */
export type RequestPhase = (typeof REQUEST_PHASE)[keyof typeof REQUEST_PHASE];

/** How a request ended. @public */
export const REQUEST_OUTCOME = {
  /** The response was complete. */
  answered: 'answered',
  /** Ended before it could have run on any target. */
  refusedNotRun: 'refused_not_run',
  /** Ended after a part of the response. */
  failedPartial: 'failed_partial',
  /** A target may have run it. */
  outcomeUnknown: 'outcome_unknown',
} as const;

/** @public */
export type RequestOutcome =
  (typeof REQUEST_OUTCOME)[keyof typeof REQUEST_OUTCOME];

/** Whether a request ran on a target, as reported to the caller. @public */
export const RUN_STATUS = {
  /** No byte of it can have reached a target. */
  notRun: 'not_run',
  /** A target has responded, at least in part. */
  ran: 'ran',
  /** An attempt may have reached a target; no response was passed on. */
  unknown: 'unknown',
} as const;

/** @public */
export type RunStatus = (typeof RUN_STATUS)[keyof typeof RUN_STATUS];

/**
 * State of one request. Only this state decides what a caller is told about
 * whether its request ran, so no refusal states more than is known.
 *
 * @public
 */
export interface RequestState {
  readonly phase: RequestPhase;
  readonly idempotent: boolean;
  /** Number of attempts that may have reached a target. */
  readonly attempts: number;
  /** Whether any part of the response was sent to the caller. */
  readonly responseStarted: boolean;
  /** Undefined until the request has ended. */
  readonly outcome: RequestOutcome | undefined;
}

/** Events in the progress of a request. @public */
export type RequestEvent =
  | {readonly type: 'claim_started'}
  | {readonly type: 'queued'}
  | {readonly type: 'granted'}
  /** The slot was returned unused; the request waits for another one. */
  | {readonly type: 'grant_returned'}
  /** From here on the target may run the request. */
  | {readonly type: 'send_started'}
  /** It is certain that no byte reached the target. */
  | {readonly type: 'proved_not_sent'}
  | {readonly type: 'response_started'}
  | {readonly type: 'response_completed'}
  /** The attempt failed after it was sent, and there is no retry. */
  | {readonly type: 'connection_lost'}
  /** The attempt failed; an idempotent request waits for another slot. */
  | {readonly type: 'requeued'}
  /** The request ends early; its outcome follows from its run status. */
  | {readonly type: 'abandoned'};

/** An event that the request's phase does not allow. @public */
export interface InvalidTransition {
  readonly kind: 'invalid_transition';
  readonly message: string;
}

/** Returns the state of a request that was just received. @public */
export function initialRequestState(idempotent: boolean): RequestState {
  return {
    phase: REQUEST_PHASE.received,
    idempotent,
    attempts: 0,
    responseStarted: false,
    outcome: undefined,
  };
}

/** Applies one event; fails if the phase does not allow it. @public */
export function advanceRequest(
  state: RequestState,
  event: RequestEvent
): Result<RequestState, InvalidTransition> {
  const next = match<
    [RequestPhase, RequestEvent['type']],
    RequestState | undefined
  >([state.phase, event.type])
    .with(['received', 'claim_started'], () => moveTo(state, 'claiming'))
    .with(['received', 'queued'], () => moveTo(state, 'queued'))
    .with(['claiming', 'queued'], () => moveTo(state, 'queued'))
    .with(['queued', 'granted'], () => moveTo(state, 'granted'))
    .with(['granted', 'grant_returned'], () => moveTo(state, 'queued'))
    .with(['granted', 'send_started'], () => ({
      ...moveTo(state, 'sent'),
      attempts: state.attempts + 1,
    }))
    .with(['sent', 'proved_not_sent'], () => ({
      ...moveTo(state, 'granted'),
      attempts: state.attempts - 1,
    }))
    .with(['sent', 'response_started'], () => ({
      ...moveTo(state, 'responding'),
      responseStarted: true,
    }))
    .with(
      ['sent', 'response_completed'],
      ['responding', 'response_completed'],
      () => ended(state, 'answered')
    )
    .with(['sent', 'requeued'], () =>
      state.idempotent ? moveTo(state, 'queued') : undefined
    )
    .with(['responding', 'connection_lost'], () =>
      ended(state, 'failed_partial')
    )
    .with(['sent', 'connection_lost'], () => ended(state, 'outcome_unknown'))
    .with(
      ['received', 'abandoned'],
      ['claiming', 'abandoned'],
      ['queued', 'abandoned'],
      ['granted', 'abandoned'],
      ['sent', 'abandoned'],
      ['responding', 'abandoned'],
      () => ended(state, outcomeOnAbandon(state))
    )
    .otherwise(() => undefined);
  if (next !== undefined) return ok(next);
  const message = `${event.type} is not allowed in phase ${state.phase}`;
  return fail({kind: 'invalid_transition', message});
}

/** Returns what is known about whether the request ran. @public */
export function runStatusOf(state: RequestState): RunStatus {
  if (state.outcome === REQUEST_OUTCOME.answered) return RUN_STATUS.ran;
  if (state.responseStarted) return RUN_STATUS.ran;
  return state.attempts === 0 ? RUN_STATUS.notRun : RUN_STATUS.unknown;
}

function moveTo(state: RequestState, phase: RequestPhase): RequestState {
  return {...state, phase};
}

function ended(state: RequestState, outcome: RequestOutcome): RequestState {
  return {...state, phase: REQUEST_PHASE.ended, outcome};
}

function outcomeOnAbandon(state: RequestState): RequestOutcome {
  return match(runStatusOf(state))
    .with('not_run', () => REQUEST_OUTCOME.refusedNotRun)
    .with('ran', () => REQUEST_OUTCOME.failedPartial)
    .with('unknown', () => REQUEST_OUTCOME.outcomeUnknown)
    .exhaustive();
}
