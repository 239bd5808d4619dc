import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './overload_guard.js';

test('lag over several samples is overload, a single pause is not', () => {
  const guard = OverloadGuard.create();
  const onLag = (lagMs: number) => guard.onSample({lagMs, busyFraction: 0.5});
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
  for (let i = 0; i < 40; i++) guard.onSample({lagMs: 2, busyFraction: 0.9});
  assert.equal(guard.isOverloaded, false);
  const countRefused = (customer: string, arrivals: number): number => {
    let refused = 0;
    for (let i = 0; i < arrivals; i++) {
      if (guard.shouldRefuse(customer, nowMs)) refused += 1;
      nowMs += 1;
    }
    return refused;
  };
  let nowMs = 0;
  assert.equal(countRefused('large', 2000), 0);
  for (let i = 0; i < 4; i++) guard.onSample({lagMs: 2, busyFraction: 1});
  assert.equal(guard.isOverloaded, true);
  assert.equal(
    countRefused('large', 500),
    500,
    'its share was used up before the overload'
  );
  countRefused('large', 500);
  const refused = countRefused('large', 3000);
  assert.ok(Math.abs(refused - 0.75 * 3000) <= 0.02 * 3000, `${refused}`);
  guard.onSample({lagMs: 2, busyFraction: 0.7});
  assert.equal(guard.isOverloaded, false);
  assert.equal(countRefused('large', 100), 0);
});

test('overload by one customer refuses no requests of a small one', () => {
  const guard = OverloadGuard.create();
  for (let i = 0; i < 40; i++) guard.onSample({lagMs: 2, busyFraction: 1});
  const refused = {large: 0, small: 0};
  for (let t = 0; t < 5000; t++) {
    if (guard.shouldRefuse('large', t)) refused.large += 1;
    if (t % 50 === 0 && guard.shouldRefuse('small', t)) refused.small += 1;
  }
  assert.equal(refused.small, 0);
  assert.ok(refused.large > 0.7 * 5000, `${refused.large}`);
});
