import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseLogLine} from './log_story.js';
import {timelineOf} from './use_timeline.js';

const line = (second: number, uses: readonly object[]) =>
  JSON.stringify({
    time: '2026-03-21T08:03:00.000Z',
    level: 'info',
    event: 'customer use',
    instance: 'entry-1',
    second,
    uses,
  });

test('uses of one second add up over the instances', () => {
  const entries = [
    line(100, [{customer: 'a', asked: 10, given: 10, refusals: 0}]),
    line(102, [{customer: 'a', asked: 20, given: 5, refusals: 2}]),
    line(102, [{customer: 'a', asked: 7, given: 7, refusals: 0}]),
  ].flatMap(text => parseLogLine(text) ?? []);
  const found = timelineOf(entries);
  assert.equal(found?.startS, 100);
  assert.deepEqual(found.timeline.get('a'), [
    {requested: 10, admitted: 10, wasRefused: false},
    {requested: 0, admitted: 0, wasRefused: false},
    {requested: 27, admitted: 12, wasRefused: true},
  ]);
  assert.equal(timelineOf([]), undefined);
});
