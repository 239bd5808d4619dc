import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NoticeOutbox} from './notice_outbox.js';

import type {SharedRun} from '@applebend/routing';

function runs(count: number): SharedRun[] {
  return Array.from({length: count}, (_, i) => ({
    target: 't@1',
    fingerprint: `f-${i}`,
    endedAtMs: 0,
    hasProgressed: false,
  }));
}

test('runs that ended without a result are told twice, a lost message loses none', () => {
  const outbox = NoticeOutbox.create();
  outbox.add({kind: 'unresolved', runs: runs(1)}, 0);
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs <= 3000; nowMs += 50) {
    if (!outbox.isDue(nowMs)) continue;
    assert.deepEqual(outbox.take(nowMs), [{kind: 'unresolved', runs: runs(1)}]);
    sentAtMs.push(nowMs);
  }
  assert.deepEqual(sentAtMs, [0, 200]);
});

test('many ended runs neither fill a message nor hold back a loss', () => {
  const outbox = NoticeOutbox.create();
  outbox.add({kind: 'unresolved', runs: runs(1000)}, 0);
  const loss = {fingerprint: 'f', target: 't@1', seenAtMs: 0};
  outbox.add({kind: 'loss', loss}, 0);
  const [ended, lost] = outbox.take(0);
  assert.equal(ended.kind === 'unresolved' && ended.runs.length, 40);
  assert.equal(lost.kind, 'loss');
  let told = 40;
  for (let nowMs = 50; nowMs <= 60_000; nowMs += 50) {
    for (const notice of outbox.take(nowMs)) {
      if (notice.kind === 'unresolved') told += notice.runs.length;
    }
  }
  assert.equal(told, 800);
});
