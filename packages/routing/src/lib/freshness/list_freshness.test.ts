import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import {ListFreshness} from './list_freshness.js';

/**
 * A leaving target must get no new requests after 2 s, of which half a second
 * is reserved for everything but reading the list.
 */
const MAX_PROPAGATION_MS = 1500;

function create(seed = 1): ListFreshness {
  const random = Random.create(seed);
  return ListFreshness.create({
    minReadAgeMs: 500,
    maxReadAgeMs: 1100,
    random: () => random.uniform(),
  });
}

test('a read of the same list by a peer saves an own read', () => {
  const list = create();
  assert.ok(list.isReadDue(0));
  list.onRead(7, 1000);
  assert.equal(list.isReadDue(1400), false);
  assert.ok(list.isReadDue(2100));
  list.onPeerRead(7, 50, 2000);
  assert.equal(list.isReadDue(2100), false);
  assert.equal(list.ageMs(2100), 150);
});

test('a newer read of another list by a peer makes a read due at once', () => {
  const list = create();
  list.onRead(7, 1000);
  list.onPeerRead(8, 400, 1200);
  assert.equal(list.isReadDue(1200), false);
  list.onPeerRead(8, 100, 1200);
  assert.ok(list.isReadDue(1200));
});

test('peers do not confirm the list to each other without a read', () => {
  const [a, b] = [create(1), create(2)];
  a.onRead(7, 1000);
  b.onRead(7, 900);
  for (let nowMs = 1100; nowMs < 6000; nowMs += 20) {
    const fromA = a.ownReadAgeMs(nowMs);
    const fromB = b.ownReadAgeMs(nowMs);
    a.onPeerRead(7, fromB, nowMs + 15);
    b.onPeerRead(7, fromA, nowMs + 15);
  }
  assert.ok(a.ageMs(6000) >= 4900, `${a.ageMs(6000)}`);
  assert.ok(b.ageMs(6000) >= 4900, `${b.ageMs(6000)}`);
});

/** A report of an instance's newest read to its peers. */
interface PeerReport {
  readonly key: number;
  readonly ageMs: number;
  readonly arrivesMs: number;
}

test('a change reaches all instances in time with few reads', () => {
  const instances = Array.from({length: 69}, (_, i) => create(i + 1));
  const random = Random.create(5);
  const keyAt = (nowMs: number) => (nowMs < 20_000 ? 1 : 2);
  let reads = 0;
  let propagatedAtMs = Infinity;
  let reports: PeerReport[] = [];
  for (let nowMs = 0; nowMs < 40_000; nowMs += 50) {
    for (const list of instances) {
      if (!list.isReadDue(nowMs)) continue;
      list.onRead(keyAt(nowMs), nowMs);
      reads += 1;
    }
    for (const {key, ageMs, arrivesMs} of reports) {
      if (arrivesMs > nowMs) continue;
      for (const list of instances) list.onPeerRead(key, ageMs, nowMs);
    }
    reports = reports.filter(({arrivesMs}) => arrivesMs > nowMs);
    if (nowMs % 250 === 0) {
      for (const list of instances) {
        const arrivesMs = nowMs + random.int(1, 60);
        const ageMs = list.ownReadAgeMs(nowMs);
        reports.push({key: list.contentKey, ageMs, arrivesMs});
      }
    }
    const isPropagated = instances.every(list => list.contentKey === 2);
    if (isPropagated) propagatedAtMs = Math.min(propagatedAtMs, nowMs);
  }
  assert.ok(propagatedAtMs - 20_000 < MAX_PROPAGATION_MS, `${propagatedAtMs}`);
  // The fewest reads of instances that do not report to each other.
  const readsAlone = (instances.length * 40_000) / 1100;
  assert.ok(reads < readsAlone / 2, `${reads} of ${readsAlone}`);
});
