import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Evacuations} from './evacuations.js';

import type {EvacuationRead} from './evacuations.js';

/** A read of the whole topic; the domains named are evacuated. */
const all = (
  domains: readonly string[],
  asOf: number,
  storeEra = 1
): EvacuationRead => ({
  changes: new Map(domains.map(domain => [domain, true])),
  isComplete: true,
  asOf,
  storeEra,
});

/** A read of later records only. */
const later = (
  changes: Readonly<Record<string, boolean>>,
  asOf: number,
  storeEra = 1
): EvacuationRead => ({
  changes: new Map(Object.entries(changes)),
  isComplete: false,
  asOf,
  storeEra,
});

const NONE = {begun: [], ended: []};

test('an evacuation begins with its record and ends with the removal', () => {
  const evacuations = Evacuations.create();
  assert.equal(evacuations.isKnown, false);
  assert.equal(evacuations.state, undefined);
  assert.deepEqual(evacuations.onRead(all([], 0), 0), NONE);
  assert.equal(evacuations.isKnown, true);
  const begun = evacuations.onRead(later({a: true, b: true}, 2), 10);
  assert.deepEqual(begun, {begun: ['a', 'b'], ended: []});
  assert.ok(evacuations.has('a'));
  assert.equal(evacuations.count, 2);
  assert.deepEqual(evacuations.onRead(later({}, 5), 20), NONE);
  const ended = evacuations.onRead(later({a: false, c: false}, 7), 30);
  assert.deepEqual(ended, {begun: [], ended: ['a']});
  assert.equal(evacuations.has('a'), false);
  assert.deepEqual(evacuations.onRead(later({a: true}, 8), 40).begun, ['a']);
});

test('a complete read ends what it lacks, once the history is gone', () => {
  const evacuations = Evacuations.create();
  evacuations.onRead(all(['a', 'b'], 5), 0);
  const read = evacuations.onRead(all(['b'], 9), 10);
  assert.deepEqual(read, {begun: [], ended: ['a']});
});

test('a read of an earlier state neither begins nor ends anything', () => {
  const evacuations = Evacuations.create();
  evacuations.onRead(all(['a'], 5, 2), 0);
  assert.deepEqual(evacuations.onRead(all([], 4, 2), 1), NONE);
  assert.deepEqual(evacuations.onRead(later({b: true}, 4, 2), 2), NONE);
  assert.deepEqual(evacuations.onRead(all(['b'], 90, 1), 3), NONE);
  assert.deepEqual(evacuations.state, {domains: ['a'], asOf: 5, storeEra: 2});
});

test('records that overlap with what is known lead to the same state', () => {
  const evacuations = Evacuations.create();
  evacuations.onRead(all(['a'], 5), 0);
  // The read began at offset 3: `a` was written before and not removed since.
  evacuations.onRead(later({b: true}, 7), 1);
  evacuations.onRead(later({b: false, a: true}, 7), 2);
  assert.deepEqual(evacuations.state?.domains, ['a']);
});

test('a copy without an evacuation ends it only after a while', () => {
  const evacuations = Evacuations.create();
  evacuations.onRead(all(['a', 'b'], 50, 1), 0);
  assert.deepEqual(evacuations.onRead(all([], 20, 2), 1000), NONE);
  assert.ok(evacuations.has('a'));
  assert.deepEqual(
    evacuations.state,
    {domains: [], asOf: 20, storeEra: 2},
    'peers decide themselves how long to keep it'
  );
  assert.deepEqual(evacuations.onRead(later({b: true}, 21, 2), 4900), NONE);
  const read = evacuations.onRead(later({}, 21, 2), 5000);
  assert.deepEqual(read, {begun: [], ended: ['a']});
  assert.ok(evacuations.has('b'), 'it was written again');
});

test('a removal in the new era of a restored store ends it at once', () => {
  const evacuations = Evacuations.create();
  evacuations.onRead(all(['a'], 50, 1), 0);
  evacuations.onRead(all([], 20, 2), 1000);
  const read = evacuations.onRead(later({a: false}, 21, 2), 1100);
  assert.deepEqual(read.ended, ['a']);
});

test("a peer's state is applied like a complete read", () => {
  const reader = Evacuations.create();
  reader.onRead(all(['a'], 5), 0);
  const member = Evacuations.create();
  member.onRead(all(['b'], 3), 0);
  assert.ok(reader.state);
  const changes = member.onState(reader.state, 10);
  assert.deepEqual(changes, {begun: ['a'], ended: ['b']});
  assert.deepEqual(member.state, reader.state);
});
