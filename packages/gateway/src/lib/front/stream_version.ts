import {
  attemptKeyOf,
  RETRY_SAFETY,
  resumedVersionNeed,
} from '@applebend/routing';

import type {AttemptKey, Target, VersionNeed} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

const ANY: VersionNeed = {kind: 'any'};

/**
 * The version at which a stream that the caller takes up was begun.
 *
 * @param isListCurrent - whether the list of targets was read after the stream
 *     broke
 * @public
 */
export function versionNeedOf(
  context: RequestContext,
  {streamVersions, targets, journalReadiness}: FleetState,
  nowMs: number,
  isListCurrent: boolean
): VersionNeed {
  if (!isTakenUp(context)) return ANY;
  const {service, caller} = context;
  const {firstAttemptId} = caller;
  const version =
    firstAttemptId === undefined
      ? undefined
      : streamVersions.versionOf(attemptKeyOf(firstAttemptId));
  return resumedVersionNeed({
    version,
    serviceVersions: targets.versions.of(service, nowMs),
    isHistoryKnown: targets.versions.isHistoryKnown(service, nowMs),
    isJournalRead: journalReadiness.isComplete,
    isListCurrent,
  });
}

/** Whether the caller resumes a stream that broke. @public */
export function isTakenUp({caller, route}: RequestContext): boolean {
  return route.streaming && caller.lastEventId !== undefined;
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
  const isNamed = lastEventId !== undefined && firstAttemptId !== undefined;
  return attemptKeyOf(isNamed ? firstAttemptId : attemptId);
}

/**
 * The only version to which a request may be sent again after one target; any if
 * undefined. The journal may have saved that target's version for the attempt,
 * and a second version may be lost with all instances before it is saved.
 *
 * @public
 */
export function versionOfRetries(
  context: RequestContext,
  {targets}: FleetState,
  {softwareVersion}: Target,
  nowMs: number
): string | undefined {
  if (streamKeyOf(context) === undefined) return undefined;
  const hasSeveral = targets.versions.hasSeveral(context.service, nowMs);
  return hasSeveral ? softwareVersion : undefined;
}
