import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './overload_guard.js';

test('a lasting lag turns requests away, and no longer than it lasts', () => {
  const guard = OverloadGuard.create();
  const onLag = (lagMs: number) => guard.onSample({lagMs, busyFraction: 0.5});
  onLag(15);
  onLag(5000);
  assert.equal(guard.isOverloaded, false, 'one pause is no overload');
  onLag(300);
  assert.equal(guard.isOverloaded, true);
  for (let i = 0; i < 3; i++) onLag(0);
  assert.equal(guard.isOverloaded, false);
  assert.ok(guard.retryAfterS(0) > 0 && guard.retryAfterS(1) <= 0.3);
});

test('a loop that is never idle turns requests away, a busy one does not', () => {
  const guard = OverloadGuard.create();
  for (let i = 0; i < 40; i++) guard.onSample({lagMs: 2, busyFraction: 0.9});
  assert.equal(guard.isOverloaded, false);
  const refusedOf = (customer: string, arrivals: number): number => {
    let refused = 0;
    for (let i = 0; i < arrivals; i++) {
      if (guard.shouldRefuse(customer, nowMs)) refused += 1;
      nowMs += 1;
    }
    return refused;
  };
  let nowMs = 0;
  assert.equal(refusedOf('large', 2000), 0);
  for (let i = 0; i < 4; i++) guard.onSample({lagMs: 2, busyFraction: 1});
  assert.equal(guard.isOverloaded, true);
  assert.equal(refusedOf('large', 500), 500, 'it was served its part before');
  refusedOf('large', 500);
  const refused = refusedOf('large', 3000);
  assert.ok(Math.abs(refused - 0.75 * 3000) <= 0.02 * 3000, `${refused}`);
  guard.onSample({lagMs: 2, busyFraction: 0.7});
  assert.equal(guard.isOverloaded, false);
  assert.equal(refusedOf('large', 100), 0);
});

test('overload by one customer refuses none of those that send little', () => {
  const guard = OverloadGuard.create();
  for (let i = 0; i < 40; i++) guard.onSample({lagMs: 2, busyFraction: 1});
  const refused = {large: 0, small: 0};
  for (let nowMs = 0; nowMs < 5000; nowMs++) {
    if (guard.shouldRefuse('large', nowMs)) refused.large += 1;
    if (nowMs % 50 === 0 && guard.shouldRefuse('small', nowMs))
      refused.small += 1;
  }
  assert.equal(refused.small, 0);
  assert.ok(refused.large > 0.7 * 5000, `${refused.large}`);
});
