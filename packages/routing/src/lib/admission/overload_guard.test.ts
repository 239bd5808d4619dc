import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadGuard} from './overload_guard.js';

test('a lasting lag turns requests away, and no longer than it lasts', () => {
  const guard = OverloadGuard.create();
  const onLag = (lagMs: number) => guard.onSample({lagMs, busyPart: 0.5});
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
  for (let i = 0; i < 40; i++) guard.onSample({lagMs: 2, busyPart: 0.9});
  assert.equal(guard.isOverloaded, false);
  assert.equal(guard.refuses(0.9), false);
  for (let i = 0; i < 4; i++) guard.onSample({lagMs: 2, busyPart: 1});
  assert.equal(guard.isOverloaded, true);
  assert.equal(guard.refuses(0.9), true);
  assert.equal(guard.refuses(0.1), false, 'some are served');
  guard.onSample({lagMs: 2, busyPart: 0.7});
  assert.equal(guard.isOverloaded, false);
});
