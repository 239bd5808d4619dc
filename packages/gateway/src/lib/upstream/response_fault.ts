import {contradictsItself, EXECUTION, executionAtTarget} from '../execution.js';

import type {AttemptFailure} from '../errors.js';
import type {TargetResponseHead} from '../ports.js';

/**
 * Why a head, which is valid HTTP, is no response of the target to an attempt, or
 * undefined if it is one.
 *
 * @param attemptId - id of the attempt
 * @param isReusedSocket - whether earlier requests were sent on the connection
 * @internal
 */
export function responseFault(
  status: number,
  head: TargetResponseHead,
  attemptId: string,
  isReusedSocket: boolean
): AttemptFailure['kind'] | undefined {
  if (head.attemptIds.some(id => id !== attemptId)) return 'crossed_answer';
  if (contradictsItself(status, head)) return 'bad_answer';
  const hasId = head.attemptIds.length > 0;
  // Without an id, it may belong to an earlier request on the connection.
  const isNotRun = executionAtTarget(status, head) === EXECUTION.notRun;
  if (isNotRun && (hasId || !isReusedSocket)) return undefined;
  if (!hasId || !head.signed || head.contentEncoded) return 'bad_answer';
  return undefined;
}
