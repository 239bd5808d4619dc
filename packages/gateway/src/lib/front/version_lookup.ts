import {versionNeedOf} from './stream_version.js';

import type {VersionNeed} from '@applebend/routing';
import type {Clock} from '@applebend/utils';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

/**
 * Longest wait for the journal. It is read in a few calls of some 10 ms, so a
 * longer wait would mean that the store is down.
 */
const MAX_WAIT_MS = 500;

/** @public */
export interface VersionLookupDeps {
  readonly state: FleetState;
  readonly clock: Clock;
}

/**
 * Determines where a request may run, and calls back: at once, unless the
 * request resumes a stream that only the journal may know and the journal is
 * still being read. Returns a function that ends the wait without a call.
 *
 * @public
 */
export function lookUpVersion(
  context: RequestContext,
  {state, clock}: VersionLookupDeps,
  onNeed: (need: VersionNeed) => void
): () => void {
  const currentNeed = () => versionNeedOf(context, state, clock.monotonicMs());
  const need = currentNeed();
  if (need.kind !== 'pending') {
    onNeed(need);
    return () => undefined;
  }
  const cancel = () => {
    clearTimeout(timer);
    removeListener();
  };
  const decide = () => {
    cancel();
    onNeed(currentNeed());
  };
  const timer = setTimeout(decide, MAX_WAIT_MS);
  const removeListener = state.journalReadiness.whenComplete(decide);
  return cancel;
}
