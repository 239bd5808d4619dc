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
  answering: 'answering',
  ended: 'ended',
} as const;

/** @public */
export type RequestPhase = (typeof REQUEST_PHASE)[keyof typeof REQUEST_PHASE];

/** How a request ended. @public */
export const REQUEST_END = {
  answered: 'answered',
  refusedNotRun: 'refused_not_run',
  failedPartial: 'failed_partial',
  outcomeUnknown: 'outcome_unknown',
} as const;

/** @public */
export type RequestEnd = (typeof REQUEST_END)[keyof typeof REQUEST_END];

/** Whether a request ran, as a caller is told. @public */
export const RAN = {notRun: 'not_run', ran: 'ran', unknown: 'unknown'} as const;

/** @public */
export type Ran = (typeof RAN)[keyof typeof RAN];

/** Everything that is known about one request's progress. @public */
export interface RequestState {
  readonly phase: RequestPhase;
  readonly idempotent: boolean;
  /** Targets that the request may have reached. */
  readonly attempts: number;
  /** Whether any byte of an answer has left for the caller. */
  readonly answerBegun: boolean;
  readonly end: RequestEnd | undefined;
}

/** What can happen to a request. @public */
export type RequestEvent =
  | {readonly type: 'claim_started'}
  | {readonly type: 'queued'}
  | {readonly type: 'granted'}
  | {readonly type: 'grant_returned'}
  | {readonly type: 'bytes_leaving'}
  | {readonly type: 'proved_not_sent'}
  | {readonly type: 'answer_begun'}
  | {readonly type: 'answer_whole'}
  | {readonly type: 'connection_broke'}
  | {readonly type: 'requeued'}
  | {readonly type: 'gave_up'};

/** An event that the request's phase does not allow. @public */
export interface InvalidTransition {
  readonly kind: 'invalid_transition';
  readonly message: string;
}

/** A request that was just received. @public */
export function receivedRequest(idempotent: boolean): RequestState {
  return {
    phase: REQUEST_PHASE.received,
    idempotent,
    attempts: 0,
    answerBegun: false,
    end: undefined,
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
    .with(['received', 'claim_started'], () => to(state, 'claiming'))
    .with(['received', 'queued'], () => to(state, 'queued'))
    .with(['claiming', 'queued'], () => to(state, 'queued'))
    .with(['queued', 'granted'], () => to(state, 'granted'))
    .with(['granted', 'grant_returned'], () => to(state, 'queued'))
    .with(['granted', 'bytes_leaving'], () => ({
      ...to(state, 'sent'),
      attempts: state.attempts + 1,
    }))
    .with(['sent', 'proved_not_sent'], () => ({
      ...to(state, 'granted'),
      attempts: state.attempts - 1,
    }))
    .with(['sent', 'answer_begun'], () => ({
      ...to(state, 'answering'),
      answerBegun: true,
    }))
    .with(['sent', 'answer_whole'], ['answering', 'answer_whole'], () =>
      ended(state, 'answered')
    )
    .with(['sent', 'requeued'], () =>
      state.idempotent ? to(state, 'queued') : undefined
    )
    .with(['answering', 'connection_broke'], () =>
      ended(state, 'failed_partial')
    )
    .with(['sent', 'connection_broke'], () => ended(state, 'outcome_unknown'))
    .with(
      ['received', 'gave_up'],
      ['claiming', 'gave_up'],
      ['queued', 'gave_up'],
      ['granted', 'gave_up'],
      ['sent', 'gave_up'],
      ['answering', 'gave_up'],
      () => ended(state, endOnGivingUp(state))
    )
    .otherwise(() => undefined);
  if (next !== undefined) return ok(next);
  const message = `${event.type} is not allowed when ${state.phase}`;
  return fail({kind: 'invalid_transition', message});
}

/** What a caller may be told now about whether its request ran. @public */
export function ranOf(state: RequestState): Ran {
  if (state.end === REQUEST_END.answered) return RAN.ran;
  if (state.answerBegun) return RAN.ran;
  return state.attempts === 0 ? RAN.notRun : RAN.unknown;
}

function to(state: RequestState, phase: RequestPhase): RequestState {
  return {...state, phase};
}

function ended(state: RequestState, end: RequestEnd): RequestState {
  return {...state, phase: REQUEST_PHASE.ended, end};
}

function endOnGivingUp(state: RequestState): RequestEnd {
  return match(ranOf(state))
    .with('not_run', () => REQUEST_END.refusedNotRun)
    .with('ran', () => REQUEST_END.failedPartial)
    .with('unknown', () => REQUEST_END.outcomeUnknown)
    .exhaustive();
}
