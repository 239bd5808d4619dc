import {EXECUTION} from './execution.js';

import type {Execution} from './execution.js';

/** Why an attempt to get a response from a target failed. @public */
export interface AttemptFailure {
  readonly kind:
    | 'connect_failed'
    // The target reports that it did not run the request.
    | 'not_executed'
    // The target did not run the request and asks for a pause.
    | 'target_paused'
    // The server is not the addressed target (status 421).
    | 'wrong_target'
    // The connection failed after the target may have received the request.
    | 'reset'
    // The head of the response is not valid HTTP, or of no final status.
    | 'invalid_response'
    // The response has no single signature, was re-encoded, or has no attempt id.
    | 'bad_answer'
    // The response carries the id of another attempt.
    | 'crossed_answer'
    // The head of the response is late, or the stream has stalled.
    | 'target_silent'
    // The status denies that the request was run, and nothing else does.
    | 'unconfirmed_refusal'
    // The stream has begun, and the response is no stream that goes on with it.
    | 'stream_not_continued'
    // A callback of the exchange threw an exception.
    | 'internal_fault'
    // Too little time was left to send the request.
    | 'timeout';
  readonly execution: Execution;
  readonly message: string;
  /** Whether nothing listens at the target's address. */
  readonly isRefused: boolean;
}

/** Failures by a response that is not valid, not this request's, or not credible. */
const INVALID_RESPONSES: ReadonlySet<AttemptFailure['kind']> = new Set([
  'invalid_response',
  'bad_answer',
  'crossed_answer',
  'unconfirmed_refusal',
]);

/** Whether a response came that could not be used. @public */
export function isInvalidResponse({kind}: AttemptFailure): boolean {
  return INVALID_RESPONSES.has(kind);
}

/** @public */
export function attemptFailure(
  kind: AttemptFailure['kind'],
  execution: Execution,
  message: string,
  isRefused = false
): AttemptFailure {
  return {kind, execution, message, isRefused};
}

/** A request cannot be sent again, as there is no target left to try. @public */
export const NO_OTHER_TARGET = attemptFailure(
  'connect_failed',
  EXECUTION.notRun,
  'no other target'
);
