import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Readiness} from './readiness.js';

/** Guards against callers sent to an instance that lacks a part of its data. */
test('an instance is ready once all sources have been read', () => {
  const config = {ready: false};
  const membership = {listRead: false};
  const losses = {ready: false};
  const readiness = Readiness.create({config, membership, losses});
  assert.deepEqual(readiness.unreadiness(), [
    'configuration not caught up',
    'instance list not read',
    'losses not read',
  ]);
  config.ready = true;
  losses.ready = true;
  assert.deepEqual(readiness.unreadiness(), ['instance list not read']);
  assert.equal(readiness.canServe, false);
  membership.listRead = true;
  assert.deepEqual(readiness.unreadiness(), []);
  assert.equal(readiness.canDispatch, true);
});

/** Guards against a shutdown that breaks off the requests still open. */
test('a draining instance serves open requests and dispatches no cell', () => {
  const readiness = Readiness.create({
    config: {ready: true},
    membership: {listRead: true},
    losses: {ready: true},
  });
  readiness.startDraining();
  assert.deepEqual(readiness.unreadiness(), ['draining']);
  assert.equal(readiness.canServe, true);
  assert.equal(readiness.canDispatch, false);
});
