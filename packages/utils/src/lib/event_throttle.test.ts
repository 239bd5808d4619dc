import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventThrottle} from './event_throttle.js';

test('events are reported once in the interval, and none goes uncounted', () => {
  const throttle = EventThrottle.create(1000);
  const reports: number[] = [];
  for (let nowMs = 0; nowMs <= 2500; nowMs += 10) {
    const count = throttle.onEvent(nowMs);
    if (count > 0) reports.push(count);
  }
  assert.deepEqual(reports, [1, 100, 100]);
  assert.equal(throttle.leftMs(2500), 500);
  assert.equal(throttle.take(2500), 50);
  assert.equal(throttle.leftMs(2500), 1000);
});

test('a report of no events delays none', () => {
  const throttle = EventThrottle.create(1000);
  assert.equal(throttle.take(0), 0);
  assert.equal(throttle.onEvent(0), 1);
});
