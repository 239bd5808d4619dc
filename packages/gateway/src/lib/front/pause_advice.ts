import {earliestPauseEndMs} from '../upstream/candidates.js';

import type {ExchangeDeps} from './exchange_deps.js';

/** Callers that wait for a pause to end return within this time after it. */
const PAUSE_SPREAD_MS = 300;

/**
 * When to retry after the first paused target of a service may get requests
 * again, in seconds; undefined if none is paused. It is spread, so that callers
 * return in turn.
 *
 * @public
 */
export function secondsUntilResumed(
  service: string,
  {state, random}: ExchangeDeps,
  nowMs: number
): number | undefined {
  const records = state.targets.readyTargets(service);
  const endsAtMs = earliestPauseEndMs(records, nowMs);
  if (endsAtMs === undefined) return undefined;
  return (endsAtMs - nowMs + random() * PAUSE_SPREAD_MS) / 1000;
}
