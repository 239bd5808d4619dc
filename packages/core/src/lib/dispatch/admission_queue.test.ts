import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServiceCounters} from '../fairness/service_counters.js';
import {AdmissionQueue} from './admission_queue.js';
import {Backlog} from './backlog.js';
import {CrashIsolation} from './crash_isolation.js';
import {FairnessMonitor} from './fairness_monitor.js';
import {POLICIES} from './policy.js';
import {announce} from './testing/announcements.js';

import type {PolicyName} from './policy.js';

const MAX_QUEUED = 2;
const PRIORITY = 5;

function emptyQueue(policy: PolicyName = 'dispatched') {
  const backlog = Backlog.create();
  const counters = ServiceCounters.create();
  const isolation = CrashIsolation.create();
  const queue = AdmissionQueue.create({
    policy: POLICIES[policy],
    rulesOf: () => ({
      share: 1,
      maxQueued: MAX_QUEUED,
      priority: PRIORITY,
      short: false,
      maxWaitMs: 500,
    }),
    backlog,
    counters,
    isolation,
    monitor: FairnessMonitor.create(counters),
  });
  return {queue, backlog, isolation};
}

/** Guards against a customer whose backlog grows without limit. */
test('a customer with the most waiting requests allowed is refused', () => {
  const {queue, backlog} = emptyQueue();
  for (const id of ['r1', 'r2']) {
    assert.equal(queue.admit('a', announce(id), 0), undefined);
  }
  const refusal = queue.admit('a', announce('r3'), 0);
  assert.equal(refusal?.reason, 'queue_full');
  assert.ok(refusal.retryAfterMs > 0);
  assert.equal(backlog.size, MAX_QUEUED);
  queue.take(backlog.get('r1')!, 0);
  assert.equal(queue.admit('a', announce('r3'), 0), undefined);
});

/** Guards against a repeated announcement that is refused or queued twice. */
test('a request that waits already is admitted once', () => {
  const {queue, backlog} = emptyQueue();
  for (const id of ['r1', 'r2', 'r2']) {
    assert.equal(queue.admit('a', announce(id), 0), undefined);
  }
  assert.equal(backlog.size, 2);
});

/** Guards against a request that crashed targets and is queued once more. */
test('a quarantined request is refused without a retry time', () => {
  const {queue, backlog, isolation} = emptyQueue();
  const fingerprint = 'r1';
  for (const target of ['t1', 't2', 't3']) {
    const seenAtMs = 0;
    isolation.tracker.onLoss({fingerprint, target, seenAtMs}, 0);
  }
  assert.deepEqual(queue.admit('a', announce(fingerprint), 0), {
    reason: 'quarantined',
    retryAfterMs: 0,
  });
  assert.equal(backlog.size, 0);
});

/** Guards against a takeover that resets waiting times. */
test('time waited before the announcement counts', () => {
  const {queue, backlog} = emptyQueue();
  queue.admit('a', announce('r1', 300), 1000);
  assert.equal(backlog.get('r1')?.queuedAtMs, 700);
});

/** Guards against class priorities that break the order of arrival. */
test('priorities apply in fair order only', () => {
  const priorityUnder = (policy: PolicyName) => {
    const {queue, backlog} = emptyQueue(policy);
    queue.admit('a', announce('r1'), 0);
    return backlog.get('r1')?.priority;
  };
  assert.equal(priorityUnder('dispatched'), PRIORITY);
  assert.equal(priorityUnder('round_robin'), 0);
});
