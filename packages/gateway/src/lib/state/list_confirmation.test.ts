import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep, systemClock} from '@applebend/utils';
import {confirmTargetList} from './list_confirmation.js';

import type {ListSource} from './list_confirmation.js';

/** A list that was read 200 ms ago, and reads of it. */
class TestSource implements ListSource {
  readAtMs = systemClock.monotonicMs() - 200;
  reads = 0;
  /** Whether reads of the store succeed. */
  isStoreReachable = true;
  /** When the read that the parent names began. */
  parentReadAtMs = -Infinity;

  targetsReadAgeMs(): number {
    return systemClock.monotonicMs() - this.readAtMs;
  }

  async refreshTargets(): Promise<void> {
    const sentAtMs = systemClock.monotonicMs();
    this.reads += 1;
    await sleep(5);
    if (this.isStoreReachable) this.readAtMs = sentAtMs;
  }

  async confirm(): Promise<undefined> {
    await sleep(5);
    this.readAtMs = Math.max(this.readAtMs, this.parentReadAtMs);
  }
}

// Guards against streams that go on at an older version than they began at.
test('a list that was read before the call is read again', async () => {
  const source = new TestSource();
  assert.equal(await confirmTargetList(source, systemClock), true);
  assert.equal(source.reads, 1);
});

test('a read that had begun before the call does not count', async () => {
  const source = new TestSource();
  const shared = source.refreshTargets.bind(source);
  const earlier = shared();
  let isFirst = true;
  source.refreshTargets = () => {
    const read = isFirst ? earlier : shared();
    isFirst = false;
    return read;
  };
  await sleep(2);
  assert.equal(await confirmTargetList(source, systemClock), true);
  assert.equal(source.reads, 2);
});

test("without the store the parent's read has to begin after the call", async () => {
  const source = new TestSource();
  source.isStoreReachable = false;
  source.parentReadAtMs = systemClock.monotonicMs() - 50;
  const confirmed = confirmTargetList(source, systemClock);
  setTimeout(() => {
    source.parentReadAtMs = systemClock.monotonicMs();
  }, 300);
  const beganAtMs = performance.now();
  assert.equal(await confirmed, true);
  assert.ok(performance.now() - beganAtMs >= 290);
});

test('without any read it fails after a second', async () => {
  const source = new TestSource();
  source.isStoreReachable = false;
  const beganAtMs = performance.now();
  assert.equal(await confirmTargetList(source, systemClock), false);
  assert.ok(performance.now() - beganAtMs >= 990);
});
