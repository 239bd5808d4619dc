/**
 * Plays a customer whose callers all reach one small instance, in virtual
 * time, and checks what the callers get.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './lib/admission/overload_guard.js';

/** Connections a second that reach the instance, once they are many. */
const ARRIVALS_PER_S = 600;
const CALM_PER_S = 60;
const LENGTH_MS = 10_000;
const SERVED_COST_MS = 9;
const REFUSED_COST_MS = 1.2;
const SAMPLE_MS = 50;
/** Callers give up a request that nobody has read for so long. */
const PATIENCE_MS = 1000;
/** Leaves time for a first event on time, at 800 ms, here or elsewhere. */
const SOON_MS = 600;

interface DayFigures {
  served: number;
  refused: number;
  /** Served or refused soon after the call. */
  soon: number;
  /** Read after its caller had left, or no room in the queue. */
  lost: number;
}

/** One instance that takes connections in turn, each at its cost. */
function playDay(
  perS: number,
  backlog: number,
  guard: OverloadGuard | undefined
): DayFigures {
  const figures = {served: 0, refused: 0, soon: 0, lost: 0};
  const queue: number[] = [];
  let freeAtMs = 0;
  let busyMs = 0;
  let nextArrivalMs = 0;
  for (let nowMs = 0; nowMs < LENGTH_MS; nowMs += 1) {
    for (; nextArrivalMs <= nowMs; nextArrivalMs += 1000 / perS) {
      if (queue.length < backlog) queue.push(nextArrivalMs);
      else figures.lost += 1;
    }
    if (nowMs % SAMPLE_MS === 0) {
      const busyPart = Math.min(1, busyMs / SAMPLE_MS);
      guard?.onSample({lagMs: 0, busyFraction: busyPart});
      busyMs = 0;
    }
    while (freeAtMs <= nowMs) {
      const arrivedMs = queue.shift();
      if (arrivedMs === undefined) break;
      const isRefused = guard?.shouldRefuse('large', nowMs) ?? false;
      const startMs = Math.max(freeAtMs, nowMs);
      freeAtMs = startMs + (isRefused ? REFUSED_COST_MS : SERVED_COST_MS);
      const waitMs = startMs - arrivedMs;
      if (waitMs > PATIENCE_MS) figures.lost += 1;
      else if (isRefused) figures.refused += 1;
      else figures.served += 1;
      if (waitMs <= SOON_MS) figures.soon += 1;
    }
    busyMs += freeAtMs > nowMs ? 1 : 0;
  }
  return figures;
}

test('callers of an overloaded instance are told soon, and many are served', () => {
  const before = playDay(ARRIVALS_PER_S, 511, undefined);
  const after = playDay(ARRIVALS_PER_S, 128, OverloadGuard.create());
  assert.ok(before.soon < 0.1 * ARRIVALS_PER_S * (LENGTH_MS / 1000));
  assert.ok(after.soon > 4 * before.soon, JSON.stringify({before, after}));
  assert.ok(after.served > 0.5 * (LENGTH_MS / SERVED_COST_MS));
  assert.ok(after.lost < (2 / 3) * before.lost);
});

test('an instance that keeps up refuses nothing', () => {
  const figures = playDay(CALM_PER_S, 128, OverloadGuard.create());
  assert.equal(figures.refused, 0);
  assert.equal(figures.lost, 0);
});
