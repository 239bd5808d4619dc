import assert from 'node:assert/strict';
import {test} from 'node:test';
import {describeEntry, parseLogLine, storyOf} from './log_story.js';

const at = (second: number, event: string, fields: object) =>
  JSON.stringify({
    time: `2026-03-21T08:03:${String(second).padStart(2, '0')}.000Z`,
    level: 'info',
    event,
    instance: 'entry-1',
    ...fields,
  });

const LINES = [
  at(1, 'target state', {target: 't-1', state: 'leaving'}),
  at(20, 'configuration in force', {version: 7}),
  at(21, 'target state', {target: 't-1', state: 'leaving'}),
  at(21, 'target state', {target: 't-2', state: 'leaving'}),
  `  12.5 entry-1 ${at(23, 'request ended', {attemptId: 'a', target: 't-1', outcome: 'reset', elapsedMs: 1500})}`,
  at(23, 'request ended', {attemptId: 'b', target: 't-1'}),
  at(40, 'store lost', {}),
  '{"time": "2026-03-21T08:0',
  'no json at all',
];

test('a story holds the request and what its instance believed before', () => {
  const entries = LINES.flatMap(line => parseLogLine(line) ?? []);
  assert.equal(entries.length, 7);
  const story = storyOf('a', entries);
  assert.deepEqual(
    story.map(({event}) => event),
    ['configuration in force', 'target state', 'request ended']
  );
  assert.match(
    describeEntry(story[2]),
    /^08:03:23\.000 {2}entry-1 {2}request ended {2}attemptId=a/
  );
  assert.deepEqual(storyOf('nobody', entries), []);
});
