import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashTracker} from './crash_tracker.js';

test('repeated and late reports of one loss count once', () => {
  const tracker = CrashTracker.create();
  const loss = {fingerprint: 'f', target: 't1', seenAtMs: 1000};
  tracker.onLoss(loss, 0);
  tracker.onLoss({...loss, seenAtMs: 1400}, 10);
  tracker.onLoss(loss, 60_000);
  assert.equal(tracker.statusOf('f'), 'suspect');
  assert.equal(tracker.hasRecentLossOn('f', 't1', 5000), true);
  assert.equal(tracker.hasRecentLossOn('f', 't2', 5000), false);
});

test('a second loss quarantines permanently, also if both are replayed', () => {
  const tracker = CrashTracker.create();
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 90_000}, 0);
  assert.equal(tracker.statusOf('f'), 'quarantined');
  tracker.onCompleted('f');
  assert.equal(tracker.statusOf('f'), 'quarantined');
});

test('a suspect that runs to completion is cleared', () => {
  const tracker = CrashTracker.create();
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  tracker.onCompleted('f');
  assert.equal(tracker.statusOf('f'), 'cleared');
});
