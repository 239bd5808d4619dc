import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashTracker} from './crash_tracker.js';

/** A tracker whose quarantines end, and losses under the fingerprint `f`. */
function createTracker(suspicionMs: number) {
  const tracker = CrashTracker.create({
    suspicionMs,
    firstQuarantineMs: 1000,
    maxQuarantineMs: 5000,
  });
  const loseAt = (target: string, nowMs: number) =>
    tracker.onLoss({fingerprint: 'f', target, seenAtMs: nowMs}, nowMs);
  return {tracker, loseAt};
}

test('repeated and late reports of one loss count once', () => {
  const tracker = CrashTracker.create();
  const loss = {fingerprint: 'f', target: 't1', seenAtMs: 1000};
  tracker.onLoss(loss, 0);
  tracker.onLoss({...loss, seenAtMs: 1400}, 10);
  tracker.onLoss(loss, 60_000);
  assert.equal(tracker.statusOf('f', 0), 'suspect');
  assert.equal(tracker.hasRecentLossOn('f', 't1', 5000), true);
  assert.equal(tracker.hasRecentLossOn('f', 't2', 5000), false);
});

test('a second loss quarantines permanently, also if both are replayed', () => {
  const tracker = CrashTracker.create();
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 90_000}, 0);
  assert.equal(tracker.statusOf('f', 0), 'quarantined');
  tracker.onCompleted('f', 0);
  assert.equal(tracker.statusOf('f', 0), 'quarantined');
});

test('a suspect that runs to completion is cleared', () => {
  const tracker = CrashTracker.create();
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 1000}, 0);
  tracker.onCompleted('f', 0);
  assert.equal(tracker.statusOf('f', 0), 'cleared');
});

test('a quarantine that is over leaves a suspect, and the next is longer', () => {
  const {tracker, loseAt} = createTracker(1e9);
  loseAt('t1', 0);
  loseAt('t2', 0);
  assert.equal(tracker.statusOf('f', 999), 'quarantined');
  assert.equal(tracker.statusOf('f', 1000), 'suspect');
  loseAt('t3', 1000);
  assert.equal(tracker.quarantineLeftMs('f', 1000), 4000);
  loseAt('t4', 5000);
  assert.equal(tracker.quarantineLeftMs('f', 5000), 5000);
  tracker.onCompleted('f', 10_000);
  assert.equal(tracker.statusOf('f', 10_000), 'cleared');
});

test('a quarantine that was imposed elsewhere is in force, and no loss ends it', () => {
  const {tracker} = createTracker(1e9);
  const quarantine = {fingerprint: 'f', losses: 3, leftMs: 4000};
  assert.equal(tracker.onQuarantine(quarantine, 0), true);
  assert.equal(tracker.onQuarantine(quarantine, 10), false);
  tracker.onLoss({fingerprint: 'f', target: 't1', seenAtMs: 0}, 20);
  assert.deepEqual(tracker.quarantines(20), [
    {fingerprint: 'f', losses: 4, leftMs: 5000},
  ]);
});

test('a stream that moved on at each lost target is quarantined after four', () => {
  const tracker = CrashTracker.create();
  const lose = (target: string) => {
    const loss = {fingerprint: 'f', target, seenAtMs: 0, hasProgressed: true};
    tracker.onLoss(loss, 0);
  };
  for (const target of ['t1', 't2', 't3']) lose(target);
  assert.equal(tracker.statusOf('f', 0), 'suspect');
  lose('t4');
  assert.equal(tracker.statusOf('f', 0), 'quarantined');
});

test('recent losses of suspects can be passed on', () => {
  const tracker = CrashTracker.create();
  const loss = {
    fingerprint: 'f',
    target: 't1',
    seenAtMs: 5,
    hasProgressed: true,
    blocks: ['a'],
  };
  tracker.onLoss(loss, 0);
  assert.deepEqual(tracker.suspectedLosses(1000), [loss]);
  assert.deepEqual(tracker.suspectedLosses(600_000), []);
});

test('losses far apart in time make no quarantine', () => {
  const {tracker, loseAt} = createTracker(1000);
  loseAt('t1', 0);
  assert.equal(tracker.isEmpty(500), false);
  assert.equal(tracker.isEmpty(2000), true);
  loseAt('t2', 2000);
  assert.equal(tracker.statusOf('f', 2000), 'suspect');
  loseAt('t3', 2500);
  assert.equal(tracker.statusOf('f', 2500), 'quarantined');
  assert.equal(tracker.isEmpty(8000), false);
  assert.equal(tracker.isEmpty(9000), true);
});

test('many suspects evict no quarantine', () => {
  const tracker = CrashTracker.create();
  for (const target of ['t1', 't2']) {
    tracker.onLoss({fingerprint: 'f', target, seenAtMs: 0}, 0);
  }
  for (let i = 0; i < 30_000; i++) {
    tracker.onLoss({fingerprint: `g${i}`, target: 't3', seenAtMs: 0}, 0);
  }
  assert.equal(tracker.statusOf('f', 0), 'quarantined');
});
