import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SlotWaiters} from './slot_waiters.js';

import type {Acquisition} from './slot_waiters.js';

const GRANTED: Acquisition = {
  type: 'granted',
  slot: {grantId: 'g1', target: 't1', expiresAtMs: 1000},
};

/** Guards against a granted slot that nobody uses and nobody returns. */
test('a grant for a cancelled request is reported as not taken', async () => {
  const waiters = SlotWaiters.create();
  const controller = new AbortController();
  let cancels = 0;
  const wait = waiters.wait('r1', controller.signal, () => (cancels += 1));
  controller.abort();
  assert.equal(waiters.settle('r1', GRANTED), false);
  assert.deepEqual(await wait, {type: 'cancelled'});
  assert.equal(cancels, 1);
});

/** Guards against a finished request that is cancelled once more. */
test('an abort after the grant cancels nothing', async () => {
  const waiters = SlotWaiters.create();
  const controller = new AbortController();
  const onCancel = () => assert.fail('cancelled after its grant');
  const wait = waiters.wait('r1', controller.signal, onCancel);
  assert.equal(waiters.settle('r1', GRANTED), true);
  controller.abort();
  assert.equal(await wait, GRANTED);
  assert.equal(waiters.settle('r1', GRANTED), false);
});
