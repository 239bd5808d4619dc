import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silenceLimitMs} from './silence_limit.js';

test('a short request is given up soon, a long prompt not while it is read', () => {
  assert.equal(silenceLimitMs(800, 100), 1280);
  assert.equal(silenceLimitMs(100, 10), 400);
  assert.ok(silenceLimitMs(800, 1100) > 2 * 1100);
});
