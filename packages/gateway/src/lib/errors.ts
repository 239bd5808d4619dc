/** Why a request got no answer of a target, as a tagged union. */

/** Whether the request may have run. @public */
export const EXECUTION = {
  /** It has not run and never will. */
  notRun: 'not_run',
  /** It may have run. */
  unknown: 'unknown',
} as const;

/** @public */
export type Execution = (typeof EXECUTION)[keyof typeof EXECUTION];

/** One failed attempt at a target. @public */
export interface AttemptFailure {
  readonly kind:
    | 'connect_failed'
    | 'not_executed'
    | 'wrong_target'
    | 'reset'
    | 'bad_answer'
    | 'crossed_answer'
    | 'target_silent'
    | 'timeout';
  readonly execution: Execution;
  readonly message: string;
}

/** Makes the failure of an attempt. @public */
export function attemptFailure(
  kind: AttemptFailure['kind'],
  execution: Execution,
  message: string
): AttemptFailure {
  return {kind, execution, message};
}
