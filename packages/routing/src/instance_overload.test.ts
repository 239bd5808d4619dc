import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './lib/admission/overload_guard.js';

/** Connections per second under overload. */
const OVERLOAD_PER_S = 600;
/** Connections per second that the instance can serve. */
const NORMAL_PER_S = 60;
const DURATION_MS = 10_000;
/** Time that the instance takes to serve a connection. */
const SERVED_COST_MS = 9;
/** Time that it takes to refuse one. */
const REFUSED_COST_MS = 1.2;
/** Time between samples of the event loop. */
const SAMPLE_MS = 50;
/** Callers abandon a request that has not been read after this time. */
const CALLER_TIMEOUT_MS = 1000;
/** Leaves time for a first event within 800 ms, here or at another instance. */
const MAX_WAIT_MS = 600;

interface RequestTotals {
  served: number;
  refused: number;
  /** Served or refused within `MAX_WAIT_MS`. */
  inTime: number;
  /**
   * Abandoned by the caller before being read, or dropped by a full backlog.
   */
  lost: number;
}

/**
 * Simulates in virtual time an instance that all callers of one customer reach.
 * It processes connections in order, each for a fixed time.
 *
 * @param backlog - most connections that wait to be accepted
 */
function simulate(
  perS: number,
  backlog: number,
  guard: OverloadGuard | undefined
): RequestTotals {
  const totals = {served: 0, refused: 0, inTime: 0, lost: 0};
  const queue: number[] = [];
  let freeAtMs = 0;
  let busyMs = 0;
  let nextArrivalMs = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    for (; nextArrivalMs <= nowMs; nextArrivalMs += 1000 / perS) {
      if (queue.length < backlog) queue.push(nextArrivalMs);
      else totals.lost += 1;
    }
    if (nowMs % SAMPLE_MS === 0) {
      const busyFraction = Math.min(1, busyMs / SAMPLE_MS);
      const listenerDelayMs = queue.length > 0 ? nowMs - queue[0] : 0;
      guard?.onSample({lagMs: 0, busyFraction, listenerDelayMs}, nowMs);
      busyMs = 0;
    }
    while (freeAtMs <= nowMs) {
      const arrivedMs = queue.shift();
      if (arrivedMs === undefined) break;
      const isRefused = guard?.shouldRefuse('large', nowMs) ?? false;
      const startMs = Math.max(freeAtMs, nowMs);
      freeAtMs = startMs + (isRefused ? REFUSED_COST_MS : SERVED_COST_MS);
      const waitMs = startMs - arrivedMs;
      if (waitMs > CALLER_TIMEOUT_MS) totals.lost += 1;
      else if (isRefused) totals.refused += 1;
      else totals.served += 1;
      if (waitMs <= MAX_WAIT_MS) totals.inTime += 1;
    }
    busyMs += freeAtMs > nowMs ? 1 : 0;
  }
  return totals;
}

test('an overloaded instance refuses quickly and still serves many requests', () => {
  // 511 is Node's default backlog, 128 that of a gateway.
  const unguarded = simulate(OVERLOAD_PER_S, 511, undefined);
  const guarded = simulate(OVERLOAD_PER_S, 128, OverloadGuard.create());
  assert.ok(unguarded.inTime < 0.1 * OVERLOAD_PER_S * (DURATION_MS / 1000));
  assert.ok(
    guarded.inTime > 4 * unguarded.inTime,
    JSON.stringify({unguarded, guarded})
  );
  assert.ok(guarded.served > 0.5 * (DURATION_MS / SERVED_COST_MS));
  assert.ok(guarded.lost < (2 / 3) * unguarded.lost);
});

test('an instance that keeps up refuses nothing', () => {
  const totals = simulate(NORMAL_PER_S, 128, OverloadGuard.create());
  assert.equal(totals.refused, 0);
  assert.equal(totals.lost, 0);
});
