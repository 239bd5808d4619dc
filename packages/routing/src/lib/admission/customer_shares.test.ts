import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {CustomerShares} from './customer_shares.js';
import {maxMinLevel} from './max_min_level.js';

test('the level uses up the capacity unless it meets all demands', () => {
  const demands = fc.array(fc.integer({min: 1, max: 1000}), {
    minLength: 1,
    maxLength: 20,
  });
  fc.assert(
    fc.property(
      demands,
      fc.integer({min: 1, max: 8000}),
      (requested, capacity) => {
        const level = maxMinLevel(requested, capacity);
        const total = requested.reduce((sum, a) => sum + a, 0);
        if (total <= capacity) {
          assert.equal(level, Infinity);
          return;
        }
        const admitted = requested.reduce(
          (sum, a) => sum + Math.min(a, level),
          0
        );
        assert.ok(Math.abs(admitted - capacity) < 1e-6 * capacity);
      }
    )
  );
});

test('usage expires, and a small customer stays below the level', () => {
  const shares = CustomerShares.create(4000);
  for (let t = 0; t < 4000; t += 100) {
    shares.add('large', {requested: 1000, admitted: 500}, t);
    shares.add('small', {requested: 10, admitted: 10}, t);
  }
  const level = shares.levels(5000, 4000).owed;
  const small = shares.usageOf('small', 4000);
  assert.ok(small.requested < level);
  assert.ok(shares.usageOf('large', 4000).requested > level);
  assert.equal(shares.usageOf('large', 9000).admitted, 0);
  const idle = {owed: Infinity, even: Infinity};
  assert.deepEqual(shares.levels(5000, 9000), idle);
});
