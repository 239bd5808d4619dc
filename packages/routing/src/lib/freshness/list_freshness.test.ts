import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import {ListFreshness} from './list_freshness.js';

/** A leaving target gets no work after 2 s; half a second is for the rest. */
const MOST_TO_BE_SEEN_MS = 1500;

function create(seed = 1): ListFreshness {
  const random = Random.create(seed);
  return ListFreshness.create({
    minReadAgeMs: 500,
    maxReadAgeMs: 1100,
    random: () => random.uniform(),
  });
}

test('a peer that read the same list saves a read', () => {
  const list = create();
  assert.ok(list.isReadDue(0));
  list.onRead(7, 1000);
  assert.equal(list.isReadDue(1400), false);
  assert.ok(list.isReadDue(2100));
  list.onPeerRead(7, 50, 2000);
  assert.equal(list.isReadDue(2100), false);
  assert.equal(list.ageMs(2100), 150);
});

test('a peer that read another list later makes a read due at once', () => {
  const list = create();
  list.onRead(7, 1000);
  list.onPeerRead(8, 400, 1200);
  assert.equal(list.isReadDue(1200), false);
  list.onPeerRead(8, 100, 1200);
  assert.ok(list.isReadDue(1200));
});

test('a peer tells of its own reads only, however long messages take', () => {
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

interface Told {
  readonly key: number;
  readonly ageMs: number;
  readonly arrivesMs: number;
}

test('a change reaches all instances in time, with few reads', () => {
  const instances = Array.from({length: 69}, (_, i) => create(i + 1));
  const random = Random.create(5);
  const keyAt = (nowMs: number) => (nowMs < 20_000 ? 1 : 2);
  let reads = 0;
  let seenByAllMs = Infinity;
  let told: Told[] = [];
  for (let nowMs = 0; nowMs < 40_000; nowMs += 50) {
    for (const list of instances) {
      if (!list.isReadDue(nowMs)) continue;
      list.onRead(keyAt(nowMs), nowMs);
      reads += 1;
    }
    for (const {key, ageMs, arrivesMs} of told) {
      if (arrivesMs > nowMs) continue;
      for (const list of instances) list.onPeerRead(key, ageMs, nowMs);
    }
    told = told.filter(({arrivesMs}) => arrivesMs > nowMs);
    if (nowMs % 250 === 0) {
      for (const list of instances) {
        const arrivesMs = nowMs + random.int(1, 60);
        const ageMs = list.ownReadAgeMs(nowMs);
        told.push({key: list.contentKey, ageMs, arrivesMs});
      }
    }
    const allSaw = instances.every(list => list.contentKey === 2);
    if (allSaw) seenByAllMs = Math.min(seenByAllMs, nowMs);
  }
  assert.ok(seenByAllMs - 20_000 < MOST_TO_BE_SEEN_MS, `${seenByAllMs}`);
  const readsAlone = (instances.length * 40_000) / 1100;
  assert.ok(reads < readsAlone / 2, `${reads} of ${readsAlone}`);
});
