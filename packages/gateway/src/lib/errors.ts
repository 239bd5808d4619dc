/** Failures of attempts to send a request to a target. */

/** Whether a target may have run a request. @public */
export const EXECUTION = {
  /** The request has not run and never will. */
  notRun: 'not_run',
  /** The request may have run. */
  unknown: 'unknown',
} as const;

/** @public */
export type Execution = (typeof EXECUTION)[keyof typeof EXECUTION];

/** One failed attempt. @public */
export interface AttemptFailure {
  readonly kind:
    | 'connect_failed'
    | 'not_executed'
    | 'wrong_target'
    | 'reset'
    // The response is unsigned, was re-encoded, or has no attempt id.
    | 'bad_answer'
    // The response carries the id of another attempt.
    | 'crossed_answer'
    // The head of the response is late, or the stream has stalled.
    | 'target_silent'
    | 'timeout';
  readonly execution: Execution;
  readonly message: string;
}

/** @public */
export function attemptFailure(
  kind: AttemptFailure['kind'],
  execution: Execution,
  message: string
): AttemptFailure {
  return {kind, execution, message};
}
