import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TargetHealth} from './target_health.js';

test('consecutive failures eject a target, then one request probes it', () => {
  const health = TargetHealth.create();
  // The first ejection lasts 400 ms, the one after the failed probe 800 ms.
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

test('a target with separate failures is not ejected', () => {
  const health = TargetHealth.create();
  for (let i = 0; i < 50; i++) {
    health.onFailure(i);
    assert.ok(health.isUsable(i));
    health.onSuccess();
  }
  assert.ok(health.failureRate > 0.2 && health.failureRate < 0.8);
});
