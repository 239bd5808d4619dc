import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sleep, systemClock} from '@applebend/utils';
import {STORE_SIGN, StoreContact} from './store_contact.js';

const log = Logger.create(LOG_LEVEL.error, {});
const DOWN = {kind: 'unreachable', message: 'down'};

// Else each change of the era would delay the read that it asks for.
test('a response of another era is no loss of the store', async () => {
  const contact = StoreContact.create(log, () => false);
  const beganAtMs = performance.now();
  await contact.onError({kind: 'era_changed', message: 'restored'});
  assert.ok(performance.now() - beganAtMs < 200);
  assert.equal(contact.isLost, false);
});

// Registrations cannot have lapsed in it.
test('a short loss gives no grace to missing records, a restore does', async () => {
  const contact = StoreContact.create(log, () => false);
  await contact.onError(DOWN);
  assert.equal(contact.isLost, true);
  contact.onResponse(STORE_SIGN.targets);
  assert.equal(contact.isLost, false);
  const nowMs = systemClock.monotonicMs();
  assert.ok(contact.graceEndsAtMs < nowMs);
  contact.onNewEra();
  assert.ok(contact.graceEndsAtMs >= nowMs + 2000);
});

// The store did not let registrations lapse while it served others.
test('a loss in which peers read gives no grace to missing records', async () => {
  const contact = StoreContact.create(log, () => false);
  for (const readsMeanwhile of [true, false]) {
    await contact.onError(DOWN);
    await sleep(1600);
    if (readsMeanwhile) contact.onPeerRead(systemClock.monotonicMs() - 500);
    contact.onResponse(STORE_SIGN.targets);
    const hasGrace = contact.graceEndsAtMs > systemClock.monotonicMs();
    assert.equal(hasGrace, !readsMeanwhile);
  }
});
