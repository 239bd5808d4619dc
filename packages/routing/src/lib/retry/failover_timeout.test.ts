import assert from 'node:assert/strict';
import {test} from 'node:test';
import {failoverTimeoutMs} from './failover_timeout.js';

test('a short request fails over soon, a long prompt not during its prefill', () => {
  assert.equal(failoverTimeoutMs(800, 100), 1280);
  assert.equal(failoverTimeoutMs(100, 10), 400);
  assert.ok(failoverTimeoutMs(800, 1100) > 2 * 1100);
});
