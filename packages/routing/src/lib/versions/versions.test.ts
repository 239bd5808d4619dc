import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServiceVersions} from './service_versions.js';
import {attemptKeyOf, StreamVersions} from './stream_versions.js';

test('a stream is remembered for as long as it may last, and then forgotten', () => {
  const versions = StreamVersions.create();
  versions.setLongestStreamMs(60_000);
  versions.add(1, 'v1', 0);
  versions.add(2, 'v2', 59_000);
  versions.add(3, 'v2', 118_000);
  assert.equal(versions.versionOf(2), 'v2');
  versions.add(4, 'v2', 179_000);
  assert.equal(versions.versionOf(1), undefined);
  assert.equal(versions.versionOf(3), 'v2');
});

test('the version of the last target of an attempt counts', () => {
  const versions = StreamVersions.create();
  versions.add(1, 'v1', 0);
  versions.add(1, 'v2', 10);
  assert.equal(versions.versionOf(1), 'v2');
});

test('very many streams do not grow the memory without bound', () => {
  const versions = StreamVersions.create();
  for (let i = 0; i < 250_000; i++) versions.add(i, 'v1', 0);
  assert.equal(versions.versionOf(249_999), 'v1');
  assert.equal(versions.versionOf(0), undefined);
});

test('keys of similar attempts differ and are exact integers', () => {
  const keys = Array.from({length: 20_000}, (_, i) => attemptKeyOf(`a${i}`));
  assert.equal(new Set(keys).size, keys.length);
  assert.ok(keys.every(Number.isSafeInteger));
});

test('a service has several versions until the former one is long gone', () => {
  const versions = ServiceVersions.create();
  versions.add({service: 'llm', version: 'v1', ageMs: 0}, 0);
  assert.equal(versions.hasSeveral('llm', 0), false);
  versions.add({service: 'app', version: 'v7', ageMs: 0}, 0);
  assert.equal(versions.hasSeveral('llm', 0), false);
  versions.add({service: 'llm', version: 'v2', ageMs: 1000}, 5000);
  assert.equal(versions.hasSeveral('llm', 5000), true);
  versions.add({service: 'llm', version: 'v2', ageMs: 0}, 200_000);
  assert.equal(versions.hasSeveral('llm', 200_000), false);
});

test('a version counts for the longest stream after its last target left', () => {
  const versions = ServiceVersions.create();
  versions.setRegistered([{service: 'llm', version: 'v1'}], 0);
  versions.setRegistered([{service: 'llm', version: 'v2'}], 10_000);
  assert.equal(versions.hasSeveral('llm', 40_000), true);
  assert.equal(versions.hasSeveral('llm', 40_001), false);
  versions.setLongestStreamMs(60_000);
  versions.setRegistered([{service: 'llm', version: 'v3'}], 50_000);
  assert.equal(versions.hasSeveral('llm', 110_000), true);
  assert.equal(versions.hasSeveral('llm', 110_001), false);
});

// A version that left before this start is in the record alone.
test('the history of a service without a record is known after the retention time', () => {
  const versions = ServiceVersions.create();
  assert.equal(versions.isHistoryKnown('llm', 0), true);
  versions.onHistoryRead(['llm'], 1000);
  assert.equal(versions.isHistoryKnown('llm', 1000), true);
  assert.equal(versions.isHistoryKnown('app', 31_000), false);
  assert.equal(versions.isHistoryKnown('app', 31_001), true);
});

// A stream that began under the longer time would be joined as "any version".
test('a shorter longest stream does not end the retention of running streams', () => {
  const services = ServiceVersions.create();
  const streams = StreamVersions.create();
  services.setLongestStreamMs(120_000);
  streams.setLongestStreamMs(120_000);
  services.setRegistered([{service: 'llm', version: 'v1'}], 0);
  streams.add(1, 'v1', 0);
  services.setRegistered([{service: 'llm', version: 'v2'}], 10_000);
  services.setLongestStreamMs(30_000);
  streams.setLongestStreamMs(30_000);
  for (let nowMs = 30_000; nowMs <= 110_000; nowMs += 10_000) {
    streams.add(nowMs, 'v2', nowMs);
  }
  assert.equal(services.hasSeveral('llm', 110_000), true);
  assert.equal(streams.versionOf(1), 'v1');
});

// An unchanged list of targets is not applied again while peers confirm it.
test('registered versions do not age while the list of targets is unchanged', () => {
  const versions = ServiceVersions.create();
  const registered = ['v2', 'v1'].map(version => ({service: 'llm', version}));
  versions.setRegistered(registered, 0);
  assert.deepEqual(versions.sets(500_000), new Map([['llm', ['v1', 'v2']]]));
});

test('the sets of versions are ordered, by service, without old ones', () => {
  const versions = ServiceVersions.create();
  versions.add({service: 'llm', version: 'v2', ageMs: 0}, 0);
  versions.add({service: 'llm', version: 'v1', ageMs: 0}, 0);
  versions.add({service: 'app', version: 'v1', ageMs: 29_000}, 0);
  const sets = [...versions.sets(0)];
  assert.deepEqual(sets, [
    ['llm', ['v1', 'v2']],
    ['app', ['v1']],
  ]);
  assert.deepEqual([...versions.sets(2000).keys()], ['llm']);
});

// Two instances may have written, so the later record may be the older one.
test('an attempt for which the journal names two versions is unknown', () => {
  const versions = StreamVersions.create();
  versions.addJournaled(1, 'v1', 0);
  versions.addJournaled(1, 'v1', 0);
  assert.equal(versions.versionOf(1), 'v1');
  versions.addJournaled(1, 'v2', 0);
  assert.equal(versions.versionOf(1), undefined);
  versions.addJournaled(1, 'v2', 0);
  assert.equal(versions.versionOf(1), undefined);
  versions.add(1, 'v2', 10);
  assert.equal(versions.versionOf(1), 'v2');
});

test('very many streams of the journal do not grow the memory without bound', () => {
  const versions = StreamVersions.create();
  for (let i = 0; i < 250_000; i++) versions.addJournaled(i, 'v1', 0);
  assert.equal(versions.versionOf(249_999), 'v1');
  assert.equal(versions.versionOf(0), undefined);
});

test('what was read from the journal is forgotten after the retention time', () => {
  const versions = StreamVersions.create();
  versions.addJournaled(1, 'v1', 0);
  versions.add(2, 'v1', 30_000);
  assert.equal(versions.versionOf(1), 'v1');
  versions.add(3, 'v1', 30_001);
  assert.equal(versions.versionOf(1), undefined);
});

test('remembered streams are those heard of, not those read', () => {
  const versions = StreamVersions.create();
  versions.add(1, 'v1', 0);
  versions.add(2, 'v2', 0);
  versions.add(3, 'v1', 31_000);
  versions.add(1, 'v3', 31_000);
  versions.addJournaled(4, 'v1', 31_000);
  const remembered = versions.remembered();
  assert.deepEqual(
    [...remembered].sort(([a], [b]) => a - b),
    [
      [1, 'v3'],
      [2, 'v2'],
      [3, 'v1'],
    ]
  );
});
