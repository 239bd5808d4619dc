import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServiceCounters} from '../fairness/service_counters.js';
import {CrashIsolation} from './crash_isolation.js';
import {FairnessMonitor} from './fairness_monitor.js';
import {GrantTable} from './grant_table.js';
import {RunningTracker} from './running_tracker.js';
import {SlotTable} from './slot_table.js';
import {announce} from './testing/announcements.js';

import type {QueuedRequest} from './dispatch_types.js';

const TARGET = 't1';
const SLOTS = 3;

function requestOf(entry: string, requestId: string): QueuedRequest {
  return {
    entry,
    announcement: announce(requestId),
    priority: 0,
    short: false,
    maxWaitMs: 500,
    queuedAtMs: 0,
  };
}

function emptyTracker() {
  const counters = ServiceCounters.create();
  const grants = GrantTable.create('incarnation');
  const limits = {
    startSlots: SLOTS,
    maxSlots: SLOTS,
    firstTokenTargetMs: 1e9,
    betweenTokensTargetMs: 1e9,
  };
  const slots = SlotTable.create({limits, shortCallSlots: 0});
  slots.setTargets([{id: TARGET, leaving: false}]);
  const tracker = RunningTracker.create({
    grants,
    slots,
    isolation: CrashIsolation.create(),
    monitor: FairnessMonitor.create(counters),
    counters,
  });
  return {tracker, grants, slots, counters};
}

/** Guards against slots that stay in use after their grant is gone. */
test('an ended request frees its slot, and the refund is credited', () => {
  const {tracker, grants, slots, counters} = emptyTracker();
  const grant = tracker.start(requestOf('a', 'r1'), TARGET);
  assert.equal(slots.inFlight(TARGET), 1);
  assert.equal(counters.serviceOf('customer'), 10);
  tracker.end(grant);
  tracker.charge(grant, 4);
  assert.equal(slots.inFlight(TARGET), 0);
  assert.equal(grants.heldCount, 0);
  assert.equal(counters.serviceOf('customer'), 4);
});

/** Guards against a lost link that frees slots of requests that may run. */
test('orphaned slots stay in flight until their entry has ended', () => {
  const {tracker, grants, slots} = emptyTracker();
  tracker.start(requestOf('a', 'r1'), TARGET);
  tracker.start(requestOf('b', 'r2'), TARGET);
  tracker.orphanAllOf('a');
  assert.deepEqual([grants.heldCount, grants.orphanCount], [1, 1]);
  assert.equal(slots.inFlight(TARGET), 2);
  tracker.start(requestOf('a', 'r3'), TARGET);
  tracker.endAllOf('a');
  assert.deepEqual([grants.heldCount, grants.orphanCount], [1, 0]);
  assert.equal(slots.inFlight(TARGET), 1);
});

/** Guards against a takeover that charges customers a second time. */
test('an adopted slot is in use and is not charged again', () => {
  const {tracker, grants, slots, counters} = emptyTracker();
  const announcement = announce('r1');
  const held = {grantId: 'g1', target: TARGET, announcement, charged: 7};
  tracker.adopt('a', held, 0);
  assert.equal(slots.inFlight(TARGET), 1);
  assert.equal(counters.serviceOf('customer'), 0);
  const grant = grants.get('a', 'g1');
  assert.ok(grant !== undefined);
  tracker.charge(grant, 9);
  assert.equal(counters.serviceOf('customer'), 2);
});
