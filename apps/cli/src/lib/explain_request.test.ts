import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  formatLogLine,
  parseLogLine,
  explainRequest,
} from './explain_request.js';

const lineAt = (second: number, event: string, fields: object) =>
  JSON.stringify({
    time: `2026-03-21T08:03:${String(second).padStart(2, '0')}.000Z`,
    level: 'info',
    event,
    instance: 'entry-1',
    ...fields,
  });

const LINES = [
  lineAt(1, 'target state', {target: 't-1', state: 'leaving'}),
  lineAt(20, 'configuration in force', {version: 7}),
  lineAt(21, 'target state', {target: 't-1', state: 'leaving'}),
  lineAt(21, 'target state', {target: 't-2', state: 'leaving'}),
  `  12.5 entry-1 ${lineAt(23, 'request ended', {attemptId: 'a', target: 't-1', outcome: 'reset', elapsedMs: 1500})}`,
  lineAt(23, 'request ended', {attemptId: 'b', target: 't-1'}),
  lineAt(40, 'store lost', {}),
  '{"time": "2026-03-21T08:0',
  'no json at all',
];

test('explaining a request shows its lines and earlier state changes', () => {
  const logLines = LINES.flatMap(line => parseLogLine(line) ?? []);
  assert.equal(logLines.length, 7);
  const explanation = explainRequest('a', logLines);
  assert.deepEqual(
    explanation.map(({event}) => event),
    ['configuration in force', 'target state', 'request ended']
  );
  assert.match(
    formatLogLine(explanation[2]),
    /^08:03:23\.000 {2}entry-1 {2}request ended {2}attemptId=a/
  );
  assert.deepEqual(explainRequest('nobody', logLines), []);
});

test('a request that no target took is explained by the targets of its service', () => {
  const logLines = [
    lineAt(20, 'store restored from a copy', {era: 4, lastEra: 3}),
    lineAt(21, 'target paused', {target: 't-1', service: 'llm', pauseMs: 1500}),
    lineAt(21, 'target paused', {target: 'a-1', service: 'app', pauseMs: 900}),
    lineAt(22, 'target leaving', {target: 't-2', service: 'llm'}),
    lineAt(22, 'request ended', {
      attemptId: 'c',
      service: 'llm',
      outcome: 'targets_paused',
      elapsedMs: 1,
    }),
  ].flatMap(line => parseLogLine(line) ?? []);
  assert.deepEqual(
    explainRequest('c', logLines).map(({event, fields}) => [
      event,
      fields['target'],
    ]),
    [
      ['store restored from a copy', undefined],
      ['target paused', 't-1'],
      ['target leaving', 't-2'],
      ['request ended', undefined],
    ]
  );
});

test('a quarantined request is explained by the targets that were lost under it', () => {
  const logLines = [
    lineAt(10, 'target lost', {target: 't-1', running: ['f', 'g']}),
    lineAt(11, 'target lost', {target: 't-2', running: ['g']}),
    lineAt(12, 'target lost', {target: 't-3', running: ['f']}),
    lineAt(12, 'request quarantined', {fingerprint: 'f', losses: 2}),
    lineAt(30, 'request ended', {
      attemptId: 'a',
      fingerprint: 'f',
      outcome: 'quarantined',
      elapsedMs: 1,
    }),
  ].flatMap(line => parseLogLine(line) ?? []);
  const expected = [
    ['target lost', 't-1'],
    ['target lost', 't-3'],
    ['request quarantined', undefined],
    ['request ended', undefined],
  ];
  for (const id of ['a', 'f']) {
    const lines = explainRequest(id, logLines);
    const shown = lines.map(({event, fields}) => [event, fields['target']]);
    assert.deepEqual(shown, expected);
  }
});

test('a request refused for a block is explained by the targets lost under the block', () => {
  const block = 'block:bad0';
  const logLines = [
    lineAt(10, 'target lost', {target: 't-1', blocks: {[block]: 1}}),
    lineAt(11, 'target lost', {target: 't-2', blocks: {'block:other': 3}}),
    lineAt(12, 'request quarantined', {fingerprint: block, losses: 3}),
    lineAt(30, 'request ended', {
      attemptId: 'a',
      fingerprint: 'f',
      quarantinedBlock: block,
      outcome: 'quarantined',
      elapsedMs: 1,
    }),
  ].flatMap(line => parseLogLine(line) ?? []);
  for (const id of ['a', block]) {
    const events = explainRequest(id, logLines).map(({event}) => event);
    const expected = ['target lost', 'request quarantined', 'request ended'];
    assert.deepEqual(events, expected);
  }
});
