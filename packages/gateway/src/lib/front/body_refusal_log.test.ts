import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BodyMemory} from '@applebend/routing';
import {BodyRefusalLog} from './body_refusal_log.js';

import type {Logger} from '@applebend/telemetry';

test('a flood of refused bodies writes a line a second, and none is left uncounted', () => {
  let nowMs = 0;
  const counts: number[] = [];
  const logger = {
    warn: (_event: string, {refused}: {refused: number}) =>
      counts.push(refused),
  } as unknown as Logger;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const log = BodyRefusalLog.create(logger, clock);
  const memory = BodyMemory.create(1000);
  for (; nowMs <= 2000; nowMs += 10) log.onRefused('one', memory);
  assert.deepEqual(counts, [1, 100, 100]);
});
