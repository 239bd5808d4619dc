import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OverloadHealth} from './overload_health.js';

const SAMPLE_MS = 50;

test('refusals that make an overloaded instance less busy do not make it healthy', () => {
  const health = OverloadHealth.create();
  let nowMs = 0;
  const run = (isOverloaded: boolean, busyFraction: number, forMs: number) => {
    for (const endMs = nowMs + forMs; nowMs < endMs; nowMs += SAMPLE_MS) {
      health.onSample({isOverloaded, busyFraction}, nowMs);
    }
    return health.isHealthy;
  };
  assert.equal(run(false, 0.9, 1000), true);
  assert.equal(run(true, 0.96, 100), false);
  assert.equal(run(false, 0.93, 5000), false);
  assert.equal(run(false, 0.6, 800), false);
  assert.equal(run(false, 0.8, 100), false);
  assert.equal(run(false, 0.6, 1000), false);
  assert.equal(run(false, 0.6, 200), true);
});
