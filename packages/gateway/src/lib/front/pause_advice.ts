import {earliestAvailableMs} from '../upstream/candidates.js';

import type {TargetRecord} from '../state/target_record.js';
import type {ExchangeDeps} from './exchange_deps.js';

/** Time between callers that return to targets that do not limit their rate. */
const UNLIMITED_INTERVAL_MS = 20;
const MS_PER_S = 1000;

/**
 * When to retry after the first target of a service that is paused, or at its
 * rate, may get requests again, in seconds; undefined if there is none. Callers
 * that are refused one after the other are to return in turn.
 *
 * @public
 */
export function secondsUntilResumed(
  service: string,
  {state}: ExchangeDeps,
  nowMs: number
): number | undefined {
  const records = state.targets.readyTargets(service);
  const availableAtMs = earliestAvailableMs(records, nowMs);
  if (availableAtMs === undefined) return undefined;
  const intervalMs = returnIntervalMs(records, state.instanceCount, nowMs);
  const times = state.returnTimesOf(service);
  return (times.next(availableAtMs, intervalMs, nowMs) - nowMs) / MS_PER_S;
}

/** Time between two requests that this instance's part of all limits allows. */
function returnIntervalMs(
  records: readonly TargetRecord[],
  instanceCount: number,
  nowMs: number
): number {
  let ratePerS = 0;
  for (const {rateLimit} of records) ratePerS += rateLimit.rate(nowMs);
  if (ratePerS === Infinity) return UNLIMITED_INTERVAL_MS;
  return (instanceCount * MS_PER_S) / ratePerS;
}
