import {afterLoopTime} from '@applebend/utils';

import type {FleetState} from '../state/fleet_state.js';

/**
 * Longest wait for a read of the targets. It takes some 10 ms, so a longer one
 * means that the store is slow or down, and requests go on with the list at hand.
 */
const MAX_WAIT_MS = 500;

/**
 * Calls back once the list of targets is recent enough to send a request by it:
 * at once as a rule, otherwise after a read. A target that is leaving therefore
 * gets no request from an instance that fell behind. Returns a function that ends
 * the wait without a call.
 *
 * @public
 */
export function whenTargetsCurrent(
  state: FleetState,
  onCurrent: () => void
): () => void {
  if (state.areTargetsCurrent) {
    onCurrent();
    return () => undefined;
  }
  let hasEnded = false;
  const end = () => {
    hasEnded = true;
    cancelTimeout();
  };
  const proceed = () => {
    if (hasEnded) return;
    end();
    onCurrent();
  };
  const cancelTimeout = afterLoopTime(MAX_WAIT_MS, proceed);
  void state.refreshTargets().then(proceed);
  return end;
}
