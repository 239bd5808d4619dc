import type {TargetResponseHead} from './ports.js';

/** Whether a target may have run a request. @public */
export const EXECUTION = {
  /** The request has not run and never will. */
  notRun: 'not_run',
  /** The request may have run. */
  unknown: 'unknown',
} as const;

/** @public */
export type Execution = (typeof EXECUTION)[keyof typeof EXECUTION];

/** Misdirected Request: the server is not the addressed target. @internal */
export const STATUS_MISDIRECTED = 421;
const STATUS_ERROR = 400;
const STATUS_REQUEST_TIMEOUT = 408;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  STATUS_REQUEST_TIMEOUT,
  STATUS_MISDIRECTED,
  STATUS_TOO_MANY_REQUESTS,
  STATUS_UNAVAILABLE,
]);

/**
 * Whether a status promises a caller that its request has not run and never will.
 *
 * @internal
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/**
 * Whether a target may have run the request that it answers. Its status alone
 * rules that out only if it was not the addressed target.
 *
 * @internal
 */
export function executionAtTarget(
  status: number,
  {notExecuted}: TargetResponseHead
): Execution {
  const isNotRun = notExecuted || status === STATUS_MISDIRECTED;
  return isNotRun ? EXECUTION.notRun : EXECUTION.unknown;
}

/**
 * Whether a response says both that the request was served and that it was not
 * run, so that neither can be believed.
 *
 * @internal
 */
export function contradictsItself(
  status: number,
  {notExecuted}: TargetResponseHead
): boolean {
  return notExecuted && status < STATUS_ERROR;
}
