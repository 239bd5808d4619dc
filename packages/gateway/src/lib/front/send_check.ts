import {fail, ok} from '@applebend/utils';
import {attemptFailure} from '../errors.js';
import {EXECUTION} from '../execution.js';

import type {Result} from '@applebend/utils';
import type {AttemptFailure} from '../errors.js';
import type {TargetRecord} from '../state/target_record.js';

/** A request is not sent with less time left until its deadline. */
const MIN_LEFT_TO_SEND_MS = 5;

/**
 * Checks once more that a request may be sent to the target that was chosen, and
 * counts it against the target's cold rate. Returns the record of the target, or
 * why the request cannot be sent.
 *
 * @param record - undefined if the target was removed since it was chosen
 * @param leftMs - time left until the deadline of the request
 * @public
 */
export function reserveSend(
  record: TargetRecord | undefined,
  leftMs: number,
  nowMs: number
): Result<TargetRecord, AttemptFailure> {
  const {notRun} = EXECUTION;
  if (record === undefined) {
    return fail(attemptFailure('connect_failed', notRun, 'target was removed'));
  }
  if (leftMs < MIN_LEFT_TO_SEND_MS) {
    const message = 'too little time left to send';
    return fail(attemptFailure('timeout', notRun, message));
  }
  if (record.coldStart.trySend(nowMs)) return ok(record);
  return fail(attemptFailure('target_paused', notRun, 'target is cold'));
}
