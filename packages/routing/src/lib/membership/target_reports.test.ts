import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TARGET_STATE} from '../config/target.js';
import {TargetReports} from './target_reports.js';

import type {Target, TargetState} from '../config/target.js';
import type {TargetRecordEntry} from './target_reports.js';

const REMOVAL = {id: 't', offset: 0, report: undefined, isRemoval: true};

let written = 0;

function entry(
  sequence: number | undefined,
  state: TargetState = TARGET_STATE.ready,
  startedAtMs = 5
): TargetRecordEntry {
  written += 1;
  const target = {id: 't', state, startedAtMs, registeredAt: written};
  const report = {target: target as Target, sequence};
  return {id: 't', offset: written, report, isRemoval: false};
}

function rig() {
  const reports = TargetReports.create();
  const apply = (entries: TargetRecordEntry[], nowMs = 0, keeps = false) =>
    reports.onRecords(entries, keeps, nowMs);
  const state = () => reports.targets[0]?.state;
  return {reports, apply, state};
}

test('a heartbeat that arrives after a newer one does not take back that the target drains', () => {
  const {reports, apply, state} = rig();
  apply([entry(7)]);
  const late = entry(8);
  const older = apply([entry(9, TARGET_STATE.leaving), late]);
  assert.deepEqual(older, [late]);
  assert.equal(state(), TARGET_STATE.leaving);
  reports.onList([late], false, 5000);
  assert.equal(state(), TARGET_STATE.leaving);
});

test('a heartbeat that arrives after the removal does not bring the target back', () => {
  const {reports, apply, state} = rig();
  apply([entry(7), entry(9, TARGET_STATE.leaving), REMOVAL, entry(8)]);
  assert.equal(state(), undefined);
  const last = entry(10);
  reports.onList([last], false, 1000);
  reports.onList([last], false, 60_000);
  assert.equal(state(), undefined, 'it was under way at the removal');
  assert.deepEqual(reports.reportedAgain, ['t']);
});

test('a removed target that goes on reporting is used from its second report on', () => {
  const {apply, state} = rig();
  apply([entry(7), REMOVAL, entry(8)]);
  assert.equal(state(), undefined);
  apply([entry(9)], 1000);
  assert.equal(state(), TARGET_STATE.ready);
});

test('a target that restarts, or numbers nothing, is used from its first report on', () => {
  const {apply, state} = rig();
  apply([entry(7), REMOVAL, entry(1, TARGET_STATE.ready, 6)]);
  assert.equal(state(), TARGET_STATE.ready);
  apply([entry(9, TARGET_STATE.leaving, 5)]);
  assert.equal(state(), TARGET_STATE.ready, 'of the incarnation before');
  apply([entry(undefined, TARGET_STATE.leaving, 6)]);
  assert.equal(state(), TARGET_STATE.leaving);
});

test('lower numbers are no older reports for good', () => {
  const {apply, state} = rig();
  apply([entry(1000, TARGET_STATE.leaving)]);
  apply([entry(8)], 9_999);
  assert.equal(state(), TARGET_STATE.leaving);
  apply([entry(9)], 10_001);
  assert.equal(state(), TARGET_STATE.ready);
});

test('a missing target that is kept is used at once when it reports again', () => {
  const {reports, apply, state} = rig();
  apply([entry(7)]);
  reports.onList([], true, 1000);
  assert.equal(state(), TARGET_STATE.ready);
  assert.equal(reports.listedTargets.length, 0);
  assert.ok(reports.hasMissing);
  apply([entry(8)], 1100);
  assert.ok(!reports.hasMissing);
  reports.onList([], false, 1200);
  assert.equal(state(), undefined);
});

test('a target that was removed before the first list is not kept', () => {
  const {reports, state} = rig();
  reports.onList([entry(7), REMOVAL], true, 0);
  assert.equal(state(), undefined);
});

const UNUSABLE: Readonly<Record<string, TargetRecordEntry>> = {
  'that describes no target': {...REMOVAL, isRemoval: false},
  'without the start of the target': entry(8, TARGET_STATE.ready, 0),
};

for (const [what, unusable] of Object.entries(UNUSABLE)) {
  test(`a record of another writer ${what} names no target to use`, () => {
    for (const keeps of [false, true]) {
      const {reports, apply, state} = rig();
      apply([entry(7)]);
      apply([unusable], 100, keeps);
      assert.equal(state(), undefined);
      reports.onList([unusable], keeps, 200);
      assert.equal(state(), undefined);
      apply([entry(8)], 1000, keeps);
      assert.equal(state(), TARGET_STATE.ready);
    }
  });
}

test('removed targets are forgotten', () => {
  const reports = TargetReports.create();
  for (let i = 0; i < 1000; i++) {
    const id = `t-${i}`;
    const report = {...entry(1), id};
    reports.onRecords([report, {...REMOVAL, id}], false, i * 1000);
  }
  assert.ok(reports.heldCount <= 12, `${reports.heldCount}`);
});
