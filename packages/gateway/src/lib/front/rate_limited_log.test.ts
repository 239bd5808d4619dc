import assert from 'node:assert/strict';
import {mock, test} from 'node:test';
import {RateLimitedLog} from './rate_limited_log.js';

import type {Logger} from '@applebend/telemetry';

test('a flood of events is logged once a second, and none goes uncounted', () => {
  mock.timers.enable({apis: ['setTimeout']});
  let nowMs = 0;
  const counts: number[] = [];
  const log = {
    warn: (_event: string, {count}: {count: number}) => counts.push(count),
  } as unknown as Logger;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const limited = RateLimitedLog.create(log, clock, 'closed');
  for (let i = 0; i < 500; i++) limited.onEvent();
  assert.deepEqual(counts, [1]);
  nowMs = 1000;
  mock.timers.tick(1000);
  assert.deepEqual(counts, [1, 499]);
  limited.onEvent();
  limited.flush();
  assert.deepEqual(counts, [1, 499, 1]);
  mock.timers.reset();
});
