import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TargetHealth} from './target_health.js';

test('a target that fails in a row is left alone, then tried once', () => {
  const health = TargetHealth.create();
  for (let i = 0; i < 3; i++) health.onFailure(1000);
  assert.equal(health.isUsable(1001), false);
  assert.equal(health.isUsable(1500), true);
  health.onSent();
  assert.equal(health.isUsable(1500), false);
  health.onFailure(1600);
  assert.equal(health.isUsable(2300), false);
  assert.equal(health.isUsable(2500), true);
  health.onSent();
  health.onSuccess();
  assert.equal(health.isUsable(2501), true);
});

test('a target that fails some requests stays in use', () => {
  const health = TargetHealth.create();
  for (let i = 0; i < 50; i++) {
    health.onFailure(i);
    assert.ok(health.isUsable(i));
    health.onSuccess();
  }
  assert.ok(health.failureRate > 0.2 && health.failureRate < 0.8);
});
