import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SuspectRecord} from './suspect_record.js';

function grantOn(record: SuspectRecord, requestId: string, target: string) {
  record.onGrant({
    type: 'grant',
    cell: 'cell',
    requestId,
    grantId: `grant-${requestId}`,
    target,
    echoMs: 0,
    leaseMs: 1000,
    service: 0,
  });
}

/** Guards against a check that excuses free slots more widely than it may. */
test('only requests last granted on the lost target are suspects', () => {
  const record = SuspectRecord.create();
  grantOn(record, 'moved', 't1');
  for (const id of ['reporter', 'beside']) grantOn(record, id, 't1');
  for (const id of ['moved', 'elsewhere']) grantOn(record, id, 't2');
  const finished = {type: 'finished', cell: 'cell', cost: 1} as const;
  record.onEntryMessage({
    ...finished,
    grantId: 'grant-elsewhere',
    outcome: 'failed',
  });
  record.onEntryMessage({
    ...finished,
    grantId: 'grant-reporter',
    outcome: 'target_lost',
  });
  const all = ['reporter', 'beside', 'moved', 'elsewhere', 'unknown'];
  const suspects = all.filter(id => record.isSuspect(id));
  assert.deepEqual(suspects, ['reporter', 'beside']);
});
