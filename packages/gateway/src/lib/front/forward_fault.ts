import {attemptFailure} from '../errors.js';
import {EXECUTION, promisesNotRun} from '../execution.js';

import type {AttemptFailure} from '../errors.js';
import type {TargetResponse} from '../upstream/target_call.js';
import type {ResponseRelay} from './response_relay.js';

/**
 * Why a response cannot be forwarded, or undefined if it can. A target that did
 * not run the request says so, and its response is a failure before this is asked.
 *
 * @param isIdempotent - whether the request may run more than once
 * @internal
 */
export function forwardFault(
  response: TargetResponse,
  relay: ResponseRelay,
  isIdempotent: boolean
): AttemptFailure | undefined {
  const {status} = response;
  const {unknown} = EXECUTION;
  if (!relay.canForward(response)) {
    const message = `status ${status} in place of more events`;
    return attemptFailure('stream_not_continued', unknown, message);
  }
  // The caller would send it again, and it would run twice.
  if (promisesNotRun(status) && !isIdempotent) {
    const message = `status ${status} of a target that may have run the request`;
    return attemptFailure('unconfirmed_refusal', unknown, message);
  }
  return undefined;
}
