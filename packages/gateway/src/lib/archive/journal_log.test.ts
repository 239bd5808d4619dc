import assert from 'node:assert/strict';
import {test} from 'node:test';
import {JournalLog} from './journal_log.js';

import type {JournalRecord} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';

const streams: JournalRecord = {
  kind: 'streams',
  attempts: new Map([
    ['v1', [1, 2]],
    ['v2', [3]],
  ]),
};

test('saves are logged once a second at most, and none is left uncounted', () => {
  const lines: {services: number; attempts: number}[] = [];
  const log = {
    info: (_: string, fields: (typeof lines)[0]) => lines.push(fields),
  };
  let nowMs = 0;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const journalLog = JournalLog.create(log as unknown as Logger, clock);
  journalLog.onSaved({kind: 'service', service: 'llm', versions: ['v1', 'v2']});
  for (nowMs = 200; nowMs <= 2000; nowMs += 200) journalLog.onSaved(streams);
  assert.deepEqual(lines, [
    {services: 1, attempts: 0},
    {services: 0, attempts: 15},
    {services: 0, attempts: 15},
  ]);
});

test('a role is logged when it changes, a failure once a second at most', () => {
  const events: string[] = [];
  const note = (event: string) => events.push(event);
  let nowMs = 0;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const log = {info: note, warn: note} as unknown as Logger;
  const journalLog = JournalLog.create(log, clock);
  for (const isWriter of [false, true, true, false])
    journalLog.onRole(isWriter);
  const err = {kind: 'unavailable', message: 'down'} as const;
  for (; nowMs < 2000; nowMs += 200) journalLog.onFailed(err);
  assert.deepEqual(events, [
    'version journal writer',
    'version journal writer',
    'version journal not saved',
    'version journal not saved',
  ]);
});
