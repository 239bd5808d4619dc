import assert from 'node:assert/strict';
import {test} from 'node:test';
import {afterLoopTime} from './loop_timer.js';
import {sleep} from './sleep.js';

test('a loop that stands still does not use up the time of a call', async () => {
  let hasElapsed = false;
  afterLoopTime(200, () => (hasElapsed = true));
  const untilMs = performance.now() + 1000;
  while (performance.now() < untilMs);
  await sleep(50);
  assert.equal(hasElapsed, false);
  await sleep(400);
  assert.equal(hasElapsed, true);
});
