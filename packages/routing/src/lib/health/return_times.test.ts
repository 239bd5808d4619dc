import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ReturnTimes} from './return_times.js';

test('callers that are refused together do not return together', () => {
  const times = ReturnTimes.create();
  const delays = Array.from({length: 10}, () => times.next(100, 100, 0));
  assert.deepEqual(delays, [100, 200, 300, 400, 500, 600, 700, 800, 900, 1000]);
});

test('no caller is told to return at once to a target that is not available', () => {
  const times = ReturnTimes.create();
  assert.equal(times.next(1, 100, 0), 50);
});

test('a caller is not told to wait beyond the longest delay', () => {
  const times = ReturnTimes.create();
  for (let i = 0; i < 100; i++) assert.ok(times.next(0, 100, 0) <= 1500);
});

test('a target that is available late is waited for', () => {
  const times = ReturnTimes.create();
  assert.equal(times.next(5000, 100, 0), 5000);
});

test('the sequence does not lag behind callers that are refused later', () => {
  const times = ReturnTimes.create();
  times.next(0, 100, 0);
  assert.equal(times.next(0, 100, 10_000), 10_050);
});
