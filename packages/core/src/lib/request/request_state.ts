/**
 * The life of one request as a pure state machine. It alone answers whether a
 * request ran, so no refusal can claim more than what is known.
 */
import {match} from 'ts-pattern';
import {fail, ok} from '@applebend/utils';

import type {Result} from '@applebend/utils';

/** @public */
export const REQUEST_PHASE = {
  received: 'received',
  claiming: 'claiming',
  queued: 'queued',
  granted: 'granted',
  sent: 'sent',
  responding: 'responding',
  ended: 'ended',
} as const;

/** @public */
export type RequestPhase = (typeof REQUEST_PHASE)[keyof typeof REQUEST_PHASE];

/** How a request ended. @public */
export const REQUEST_OUTCOME = {
  answered: 'answered',
  refusedNotRun: 'refused_not_run',
  failedPartial: 'failed_partial',
  outcomeUnknown: 'outcome_unknown',
} as const;

/** @public */
export type RequestOutcome =
  (typeof REQUEST_OUTCOME)[keyof typeof REQUEST_OUTCOME];

/** Whether a request ran, as a caller is told. @public */
export const RUN_STATUS = {
  notRun: 'not_run',
  ran: 'ran',
  unknown: 'unknown',
} as const;

/** @public */
export type RunStatus = (typeof RUN_STATUS)[keyof typeof RUN_STATUS];

/** Everything that is known about one request's progress. @public */
export interface RequestState {
  readonly phase: RequestPhase;
  readonly idempotent: boolean;
  /** Targets that the request may have reached. */
  readonly attempts: number;
  /** Whether any byte of an answer has left for the caller. */
  readonly responseStarted: boolean;
  readonly outcome: RequestOutcome | undefined;
}

/** What can happen to a request. @public */
export type RequestEvent =
  | {readonly type: 'claim_started'}
  | {readonly type: 'queued'}
  | {readonly type: 'granted'}
  | {readonly type: 'grant_returned'}
  | {readonly type: 'send_started'}
  | {readonly type: 'proved_not_sent'}
  | {readonly type: 'response_started'}
  | {readonly type: 'response_completed'}
  | {readonly type: 'connection_lost'}
  | {readonly type: 'requeued'}
  | {readonly type: 'abandoned'};

/** An event that the request's phase does not allow. @public */
export interface InvalidTransition {
  readonly kind: 'invalid_transition';
  readonly message: string;
}

/** A request that was just received. @public */
export function initialRequestState(idempotent: boolean): RequestState {
  return {
    phase: REQUEST_PHASE.received,
    idempotent,
    attempts: 0,
    responseStarted: false,
    outcome: undefined,
  };
}

/** Applies one event, or says why the phase does not allow it. @public */
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
  const message = `${event.type} is not allowed when ${state.phase}`;
  return fail({kind: 'invalid_transition', message});
}

/** What a caller may be told now about whether its request ran. @public */
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
