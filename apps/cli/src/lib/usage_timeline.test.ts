import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseLogLine} from './explain_request.js';
import {usageTimelineOf} from './usage_timeline.js';

const usageLine = (second: number, uses: readonly object[]) =>
  JSON.stringify({
    time: '2026-03-21T08:03:00.000Z',
    level: 'info',
    event: 'customer use',
    instance: 'entry-1',
    second,
    uses,
  });

test('usage in the same second is added up over instances', () => {
  const logLines = [
    usageLine(100, [{customer: 'a', asked: 10, given: 10, refusals: 0}]),
    usageLine(102, [{customer: 'a', asked: 20, given: 5, refusals: 2}]),
    usageLine(102, [{customer: 'a', asked: 7, given: 7, refusals: 0}]),
  ].flatMap(text => parseLogLine(text) ?? []);
  const dated = usageTimelineOf(logLines);
  assert.equal(dated?.startS, 100);
  assert.deepEqual(dated.timeline.get('a'), [
    {requested: 10, admitted: 10, wasRefused: false},
    {requested: 0, admitted: 0, wasRefused: false},
    {requested: 27, admitted: 12, wasRefused: true},
  ]);
  assert.equal(usageTimelineOf([]), undefined);
});
