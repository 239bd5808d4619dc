import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ListenerHealth} from './listener_health.js';

test('a listener counts as unresponsive while a probe waits too long', () => {
  const health = ListenerHealth.create();
  health.onProbeSent(0);
  assert.equal(health.isResponsive(600), true);
  assert.equal(health.isResponsive(601), false);
  assert.equal(health.delayMs(601), 601);
});

test('a late answer alone does not make a listener responsive again', () => {
  const health = ListenerHealth.create();
  health.onProbeSent(0);
  health.onProbeAnswered(900);
  assert.equal(health.isResponsive(1000), false);
  health.onProbeSent(1000);
  health.onProbeAnswered(1500);
  assert.equal(health.isResponsive(1500), false);
  health.onProbeSent(2000);
  health.onProbeAnswered(2300);
  assert.equal(health.isResponsive(2300), true);
});

test('a listener that breaks a connection counts as unresponsive', () => {
  const health = ListenerHealth.create();
  health.onProbeSent(0);
  health.onProbeFailed();
  assert.equal(health.isResponsive(1), false);
  health.onProbeSent(400);
  health.onProbeAnswered(410);
  assert.equal(health.isResponsive(410), true);
});
