import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashLedger} from './crash_ledger.js';

test('one loss counts once, however late and often it is told', () => {
  const ledger = CrashLedger.create();
  const loss = {fingerprint: 'f', target: 't1', seenAtMs: 1000};
  ledger.onLoss(loss, 0);
  ledger.onLoss({...loss, seenAtMs: 1400}, 10);
  ledger.onLoss(loss, 60_000);
  assert.equal(ledger.standingOf('f'), 'suspect');
  assert.equal(ledger.wasJustLostAt('f', 't1', 5000), true);
  assert.equal(ledger.wasJustLostAt('f', 't2', 5000), false);
});

test('a second loss quarantines for good, also when both are replayed', () => {
  const ledger = CrashLedger.create();
  ledger.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  ledger.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 90_000}, 0);
  assert.equal(ledger.standingOf('f'), 'quarantined');
  ledger.onAnswered('f');
  assert.equal(ledger.standingOf('f'), 'quarantined');
});

test('a suspect that ran to its end is cleared', () => {
  const ledger = CrashLedger.create();
  ledger.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  ledger.onAnswered('f');
  assert.equal(ledger.standingOf('f'), 'cleared');
});
