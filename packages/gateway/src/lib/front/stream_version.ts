import {attemptKeyOf, RETRY_SAFETY} from '@applebend/routing';

import type {AttemptKey} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

/** Where a request may run, by the software version of the targets. @public */
export type VersionNeed =
  | {readonly kind: 'any'}
  | {readonly kind: 'exact'; readonly version: string}
  /** It goes on with a stream, and nobody knows where that began. */
  | {readonly kind: 'unknown'};

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
  if (version !== undefined) return {kind: 'exact', version};
  return targets.versions.hasSeveral(service, nowMs) ? {kind: 'unknown'} : ANY;
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
