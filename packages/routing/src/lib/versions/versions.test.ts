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
