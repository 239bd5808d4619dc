import {earliestAvailableMs} from '../upstream/candidates.js';

import type {ExchangeDeps} from './exchange_deps.js';

/** Callers that wait for a target return within this time after it is back. */
const RETURN_SPREAD_MS = 300;

/**
 * When to retry after the first target of a service that is paused, or at its
 * rate, may get requests again, in seconds; undefined if there is none. It is
 * spread, so that callers return in turn.
 *
 * @public
 */
export function secondsUntilResumed(
  service: string,
  {state, random}: ExchangeDeps,
  nowMs: number
): number | undefined {
  const records = state.targets.readyTargets(service);
  const availableAtMs = earliestAvailableMs(records, nowMs);
  if (availableAtMs === undefined) return undefined;
  return (availableAtMs - nowMs + random() * RETURN_SPREAD_MS) / 1000;
}
