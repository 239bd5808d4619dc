import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashTracker} from './crash_tracker.js';

test('repeated and late reports of one loss count once', () => {
  const ledger = CrashTracker.create();
  const loss = {fingerprint: 'f', target: 't1', seenAtMs: 1000};
  ledger.onLoss(loss, 0);
  ledger.onLoss({...loss, seenAtMs: 1400}, 10);
  ledger.onLoss(loss, 60_000);
  assert.equal(ledger.statusOf('f'), 'suspect');
  assert.equal(ledger.hasRecentLossOn('f', 't1', 5000), true);
  assert.equal(ledger.hasRecentLossOn('f', 't2', 5000), false);
});

test('a second loss quarantines permanently, also if both are replayed', () => {
  const ledger = CrashTracker.create();
  ledger.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  ledger.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 90_000}, 0);
  assert.equal(ledger.statusOf('f'), 'quarantined');
  ledger.onCompleted('f');
  assert.equal(ledger.statusOf('f'), 'quarantined');
});

test('a suspect that runs to completion is cleared', () => {
  const ledger = CrashTracker.create();
  ledger.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  ledger.onCompleted('f');
  assert.equal(ledger.statusOf('f'), 'cleared');
});
