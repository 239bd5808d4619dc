import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServiceVersions} from './service_versions.js';
import {StreamVersions} from './stream_versions.js';
import {VersionJournal} from './version_journal.js';

import type {JournalRecord} from './journal_record.js';

const INSTANCES = 9;
const ONE = new Map([['llm', ['v1']]]);
const TWO = new Map([['llm', ['v1', 'v2']]]);
const THREE = new Map([['llm', ['v1', 'v2', 'v3']]]);

const serviceRecord = (...versions: string[]): JournalRecord => ({
  kind: 'service',
  service: 'llm',
  versions,
});
const streamsRecord = (version: string, ...keys: number[]): JournalRecord => ({
  kind: 'streams',
  attempts: new Map([[version, keys]]),
});

/** An instance whose random delays are 0. */
class TestInstance {
  readonly streams = StreamVersions.create();
  readonly services = ServiceVersions.create();
  readonly journal = VersionJournal.create({
    instance: 'i5',
    random: () => 0,
    services: this.services,
    streams: this.streams,
  });

  /** An instance of a fleet that starts for the first time. */
  static create(): TestInstance {
    const instance = new TestInstance();
    instance.journal.onFirstStart();
    return instance;
  }

  begin(attempt: number, version: string, nowMs: number): void {
    this.streams.add(attempt, version, nowMs);
    this.journal.onStream(attempt, version, nowMs);
  }

  next(nowMs: number): readonly JournalRecord[] {
    return this.journal.next(INSTANCES, nowMs);
  }

  /** Appends what is to be appended, and returns it. */
  append(nowMs: number): readonly JournalRecord[] {
    const records = this.next(nowMs);
    for (const record of records) this.journal.onSaved(record, nowMs);
    return records;
  }
}

// Else nothing shows, after a restart of all, that it had another version.
test('a set of one version is saved, once', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(ONE, 0);
  assert.deepEqual(instance.append(0), [serviceRecord('v1')]);
  instance.journal.onServices(ONE, 300);
  assert.deepEqual(instance.append(5000), []);
  instance.journal.onServices(new Map([['llm', ['v2']]]), 5100);
  assert.deepEqual(instance.append(5300), [serviceRecord('v2')]);
});

test('a set of one version that a peer has saved is not saved again', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(ONE, 0);
  instance.journal.onPeerSaved('i1', 0);
  assert.deepEqual(instance.append(5000), []);
  assert.equal(instance.journal.isWriter, false);
});

test('the set of versions comes first, then all remembered streams, then new ones', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.begin(1, 'v1', 0);
  assert.deepEqual(instance.append(100), [
    serviceRecord('v1', 'v2'),
    streamsRecord('v1', 1),
  ]);
  instance.begin(2, 'v2', 150);
  assert.deepEqual(instance.append(299), []);
  assert.deepEqual(instance.append(300), [streamsRecord('v2', 2)]);
  assert.deepEqual(instance.append(900), []);
});

// A second version may join while all instances are down.
test('streams of a service with one version are saved', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(ONE, 0);
  instance.append(0);
  instance.begin(1, 'v1', 100);
  assert.deepEqual(instance.append(200), [streamsRecord('v1', 1)]);
});

test('a set that has shrunk to one version is saved, and the streams after it', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.append(0);
  instance.journal.onServices(new Map([['llm', ['v2']]]), 300);
  assert.deepEqual(instance.append(300), [serviceRecord('v2')]);
  instance.begin(1, 'v2', 400);
  assert.deepEqual(instance.append(600), [streamsRecord('v2', 1)]);
});

test('records hold at most 5,000 attempts', () => {
  const instance = TestInstance.create();
  for (let i = 0; i < 10_001; i++) instance.streams.add(i, 'v1', 0);
  instance.journal.onServices(TWO, 0);
  const sizes = instance.append(0).flatMap(record => {
    return record.kind === 'streams' ? [...record.attempts.values()] : [];
  });
  assert.deepEqual(
    sizes.map(({length}) => length),
    [5000, 5000, 1]
  );
});

test('what was not saved is returned again, the newest version of a stream only', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.begin(1, 'v1', 0);
  instance.begin(2, 'v1', 0);
  const [service] = instance.next(0);
  instance.journal.onSaved(service, 20);
  instance.begin(1, 'v2', 30);
  assert.deepEqual(instance.next(250), [], 'the batch has no result yet');
  instance.journal.onFailed(300);
  const attempts = new Map([
    ['v2', [1]],
    ['v1', [2]],
  ]);
  assert.deepEqual(instance.append(300), [{kind: 'streams', attempts}]);
});

test('a set that was not saved is returned again', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.next(0);
  instance.journal.onFailed(50);
  assert.deepEqual(instance.append(200), [serviceRecord('v1', 'v2')]);
});

// Else each instance would save the same records.
test('what a peer has saved is not saved again', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(ONE, 0);
  instance.journal.onServices(TWO, 10);
  instance.begin(1, 'v1', 10);
  instance.journal.onPeerSaved('i1', 20);
  assert.deepEqual(instance.next(5000), []);
});

test('a peer that is no longer heard of is replaced, and all is saved anew', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.begin(1, 'v1', 0);
  instance.journal.onPeerSaved('i1', 20);
  instance.begin(2, 'v2', 30);
  assert.deepEqual(instance.next(1019), []);
  const attempts = new Map([
    ['v1', [1]],
    ['v2', [2]],
  ]);
  assert.deepEqual(instance.append(1020), [
    serviceRecord('v1', 'v2'),
    {kind: 'streams', attempts},
  ]);
});

// The writer may have been lost before it saved the set that has shrunk.
test('a new writer saves a set of one version that it did not save itself', () => {
  const instance = TestInstance.create();
  const app: [string, string[]] = ['app', ['a1', 'a2']];
  instance.journal.onServices(new Map([...TWO, app]), 0);
  instance.journal.onPeerSaved('i1', 10);
  instance.journal.onServices(new Map([['llm', ['v2']], app]), 100);
  instance.journal.onPeerSaved('i1', 110);
  instance.begin(1, 'a1', 200);
  const records = instance.append(2000);
  assert.deepEqual(records[0], serviceRecord('v2'));
});

// The other writer may have replaced the set by an older one.
test('the first of two writers saves the sets of versions again', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.append(0);
  instance.journal.onPeerSaved('i6', 100);
  assert.deepEqual(instance.append(200), [serviceRecord('v1', 'v2')]);
});

// A frozen instance replaced a newer set, and the writer did not hear of it.
for (const [order, savedAtMs, heardAtMs] of [
  ['after', 5010, 5000],
  ['before', 5000, 5010],
] as const) {
  test(`a set that was appended late, ${order} a save was heard, is replaced as soon as a newer one is known`, () => {
    const instance = TestInstance.create();
    instance.journal.onServices(TWO, 0);
    const [service] = instance.next(0);
    if (order === 'after') instance.journal.onPeerSaved('i4', heardAtMs);
    instance.journal.onSaved(service, savedAtMs);
    if (order === 'before') instance.journal.onPeerSaved('i4', heardAtMs);
    assert.deepEqual(instance.append(5050), [], 'no newer set is known');
    instance.journal.onServices(THREE, 5100);
    instance.journal.onPeerSaved('i4', 5100);
    const set = serviceRecord('v1', 'v2', 'v3');
    assert.deepEqual(instance.append(5100), [set]);
    instance.journal.onPeerSaved('i4', 5200);
    assert.deepEqual(instance.append(9000), []);
  });
}

// Else each of several writers at a start would append the next set.
for (const [when, heardAtMs, savedAtMs, newerAtMs] of [
  ['after an append that was not late', 900, 999, 1100],
  ['5 s after a late append', 5000, 5010, 10_011],
] as const) {
  test(`${when}, newer sets are left to the writer`, () => {
    const instance = TestInstance.create();
    instance.journal.onServices(TWO, 0);
    const [service] = instance.next(0);
    instance.journal.onPeerSaved('i4', heardAtMs);
    instance.journal.onSaved(service, savedAtMs);
    instance.journal.onServices(THREE, newerAtMs);
    instance.journal.onPeerSaved('i4', newerAtMs);
    assert.deepEqual(instance.append(newerAtMs), []);
  });
}

test('the second of two writers stops', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.append(0);
  instance.begin(1, 'v1', 50);
  instance.journal.onPeerSaved('i4', 100);
  assert.deepEqual(instance.next(5000), []);
});

test('its own notice does not stop a writer', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.append(0);
  instance.journal.onPeerSaved('i5', 10);
  instance.begin(1, 'v1', 50);
  assert.deepEqual(instance.append(200), [streamsRecord('v1', 1)]);
});

test('after the store was restored the writer saves all that it remembers', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.begin(1, 'v1', 0);
  instance.append(0);
  instance.journal.onNewEra(300);
  assert.deepEqual(instance.append(300), [
    serviceRecord('v1', 'v2'),
    streamsRecord('v1', 1),
  ]);
});

// The append may have been executed before the store was replaced by its copy.
test('an append under way when the store is restored does not count', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  const [service] = instance.next(0);
  instance.journal.onNewEra(10);
  instance.journal.onSaved(service, 20);
  assert.deepEqual(instance.append(200), [serviceRecord('v1', 'v2')]);
});

test('after the store was restored others take over if the writer does not save', () => {
  const instance = TestInstance.create();
  instance.journal.onServices(TWO, 0);
  instance.journal.onPeerSaved('i1', 10);
  instance.journal.onNewEra(5000);
  assert.deepEqual(instance.next(5999), []);
  assert.deepEqual(instance.append(6000), [serviceRecord('v1', 'v2')]);
});

// Else it would replace a set by one without the versions that just left.
test('nothing is written before the journal has been read', () => {
  const instance = new TestInstance();
  instance.services.setRegistered([{service: 'llm', version: 'v2'}], 0);
  instance.services.setRegistered([{service: 'llm', version: 'v3'}], 10);
  instance.journal.onServices(instance.services.sets(10), 10);
  instance.begin(1, 'v3', 10);
  assert.deepEqual(instance.next(5000), []);
  instance.journal.onRead(serviceRecord('v1', 'v2'), 5000);
  instance.journal.onReadEnd(5000);
  assert.deepEqual(instance.append(5000), [
    serviceRecord('v1', 'v2', 'v3'),
    streamsRecord('v3', 1),
  ]);
});

test('what the journal holds is known, and not saved again', () => {
  const instance = new TestInstance();
  instance.journal.onRead(serviceRecord('v1', 'v2'), 0);
  instance.journal.onRead(streamsRecord('v1', 1), 0);
  instance.journal.onReadEnd(0);
  assert.equal(instance.services.hasSeveral('llm', 30_000), true);
  assert.equal(instance.streams.versionOf(1), 'v1');
  instance.services.setRegistered([{service: 'llm', version: 'v2'}], 0);
  instance.journal.onServices(instance.services.sets(10), 10);
  instance.begin(2, 'v2', 10);
  const [, ...streams] = instance.append(2000);
  assert.deepEqual(streams, [streamsRecord('v2', 2)]);
});

// Instances that were up when a writer was lost remember more streams.
test('an instance that starts lets others take over for 1 s', () => {
  const instance = new TestInstance();
  instance.journal.onRead(serviceRecord('v1', 'v2'), 0);
  instance.journal.onReadEnd(0);
  instance.journal.onServices(instance.services.sets(0), 0);
  instance.begin(1, 'v1', 10);
  assert.deepEqual(instance.next(999), []);
  assert.equal(instance.next(1000).length, 2);
});

// Else it writes beside a writer that has been silent since it started.
test('after a silence, an instance that read a set lets others take over for 1 s', () => {
  const instance = new TestInstance();
  instance.journal.onRead(serviceRecord('v1', 'v2'), 0);
  instance.journal.onReadEnd(0);
  instance.journal.onServices(instance.services.sets(0), 0);
  instance.begin(1, 'v1', 5000);
  assert.deepEqual(instance.next(5999), []);
  assert.equal(instance.next(6000).length, 2);
});

// The journal says that two versions are in doubt until a record says otherwise.
test('a set that shrinks after a start is saved', () => {
  const instance = new TestInstance();
  instance.journal.onRead(serviceRecord('v1', 'v2'), 0);
  instance.journal.onReadEnd(0);
  instance.services.setRegistered([{service: 'llm', version: 'v2'}], 0);
  instance.journal.onServices(instance.services.sets(30_001), 30_001);
  assert.deepEqual(instance.append(30_001), [serviceRecord('v2')]);
});
