import {
  attemptKeyOf,
  RETRY_SAFETY,
  resumedVersionNeed,
} from '@applebend/routing';

import type {AttemptKey, VersionNeed} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

const ANY: VersionNeed = {kind: 'any'};

/** The version at which a stream that the caller takes up was begun. @public */
export function versionNeedOf(
  {caller, route, service}: RequestContext,
  {streamVersions, targets}: FleetState,
  nowMs: number
): VersionNeed {
  const {lastEventId, firstAttemptId} = caller;
  if (!route.streaming || lastEventId === undefined) return ANY;
  const version =
    firstAttemptId === undefined
      ? undefined
      : streamVersions.versionOf(attemptKeyOf(firstAttemptId));
  return resumedVersionNeed({
    version,
    hasSeveralVersions: targets.versions.hasSeveral(service, nowMs),
    // No journal is read yet.
    isJournalRead: true,
  });
}

/**
 * The attempt under which the caller knows the stream; undefined if it cannot be
 * taken up.
 *
 * @public
 */
export function streamKeyOf({
  caller,
  route,
}: RequestContext): AttemptKey | undefined {
  const isResumable = route.retrySafety === RETRY_SAFETY.idempotent;
  if (!route.streaming || !isResumable) return undefined;
  const {lastEventId, firstAttemptId, attemptId} = caller;
  const isTakenUp = lastEventId !== undefined && firstAttemptId !== undefined;
  return attemptKeyOf(isTakenUp ? firstAttemptId : attemptId);
}
