import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './overload_guard.js';

/** How old the level may be at which requests are refused, of its window. */
const LEVEL_AGE_PART = 0.05;
/** A sample of a loop whose callers wait too long to be accepted. */
const loadOf = (busyFraction: number) => ({
  lagMs: 2,
  busyFraction,
  listenerDelayMs: 700,
});

test('lag over several samples is overload, a single pause is not', () => {
  const guard = OverloadGuard.create();
  const onLag = (lagMs: number) =>
    guard.onSample({lagMs, busyFraction: 0.5, listenerDelayMs: 0}, 0);
  onLag(15);
  onLag(5000);
  assert.equal(guard.isOverloaded, false, 'one pause is not overload');
  onLag(300);
  assert.equal(guard.isOverloaded, true);
  for (let i = 0; i < 3; i++) onLag(0);
  assert.equal(guard.isOverloaded, false);
  const retryAfterS = (spread: number) =>
    guard.retryAfterS({noticeLeftMs: 0, leftMs: 10_000, spread});
  assert.ok(retryAfterS(0) > 0 && retryAfterS(1) <= 0.3);
});

test('a loop that is never idle refuses requests, a busy one does not', () => {
  const guard = OverloadGuard.create();
  let nowMs = 0;
  const sample = (busyFraction: number, count: number) => {
    for (let i = 0; i < count; i++) guard.onSample(loadOf(busyFraction), nowMs);
  };
  const countRefused = (arrivals: number): number => {
    let refused = 0;
    for (let i = 0; i < arrivals; i++) {
      if (guard.shouldRefuse('large', nowMs)) refused += 1;
      nowMs += 1;
    }
    return refused;
  };
  const assertRefused = (arrivals: number, fraction: number, off: number) => {
    const refused = countRefused(arrivals);
    const expected = fraction * arrivals;
    assert.ok(Math.abs(refused - expected) <= off * arrivals, `${refused}`);
  };
  sample(0.9, 40);
  assert.equal(guard.isOverloaded, false);
  assert.equal(countRefused(2000), 0);
  sample(1, 4);
  assert.equal(guard.isOverloaded, true);
  countRefused(1000);
  assertRefused(1000, 0.25, LEVEL_AGE_PART);
  // Longer than it takes the balancer to move the load.
  nowMs += 2000;
  countRefused(1000);
  assertRefused(3000, 0.75, 0.02);
  sample(0.7, 1);
  assert.equal(guard.isOverloaded, false);
  assert.equal(countRefused(100), 0);
  sample(1, 4);
  assert.equal(guard.isOverloaded, true);
  countRefused(1000);
  assertRefused(1000, 0.25, LEVEL_AGE_PART);
});

test('overload by one customer refuses no requests of a small one', () => {
  const guard = OverloadGuard.create();
  for (let i = 0; i < 40; i++) guard.onSample(loadOf(1), 0);
  const refused = {large: 0, small: 0};
  for (let t = 3000; t < 8000; t++) {
    if (guard.shouldRefuse('large', t)) refused.large += 1;
    if (t % 50 === 0 && guard.shouldRefuse('small', t)) refused.small += 1;
  }
  assert.equal(refused.small, 0);
  assert.ok(refused.large > 0.7 * 5000, `${refused.large}`);
});
