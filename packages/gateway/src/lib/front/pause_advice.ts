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
  const ratePerS = ownRatePerS(records, state.instanceCount, nowMs);
  // Only other instances may send, so there is no order to keep here.
  if (ratePerS === 0) return (availableAtMs - nowMs) / MS_PER_S;
  const intervalMs =
    ratePerS === Infinity ? UNLIMITED_INTERVAL_MS : MS_PER_S / ratePerS;
  const times = state.returnTimesOf(service);
  return (times.next(availableAtMs, intervalMs, nowMs) - nowMs) / MS_PER_S;
}

/** Requests a second that this instance's part of all limits allows. */
function ownRatePerS(
  records: readonly TargetRecord[],
  instanceCount: number,
  nowMs: number
): number {
  let ratePerS = 0;
  for (const {rateLimit, coldStart} of records) {
    const limitPerS = rateLimit.rate(nowMs) / instanceCount;
    ratePerS += Math.min(limitPerS, coldStart.rate(nowMs));
  }
  return ratePerS;
}
