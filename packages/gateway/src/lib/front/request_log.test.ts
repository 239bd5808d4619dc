import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RequestLog} from './request_log.js';

import type {Logger} from '@applebend/telemetry';
import type {ExchangeReport} from './exchange_report.js';

function report(outcome: string): ExchangeReport {
  return {
    attemptId: 'x',
    route: 'r',
    service: 's',
    customer: undefined,
    isTakenUp: false,
    fingerprint: undefined,
    quarantinedBlock: undefined,
    outcome,
    status: 200,
    sends: 1,
    target: 't',
    sent: undefined,
    failure: undefined,
    placed: undefined,
    refusedFor: undefined,
    targetStatus: 200,
    headMs: 1,
    elapsedMs: 2,
    configVersion: 1,
  };
}

/** Sent while all was well. */
const SENT = {
  listAgeMs: 300,
  storeLostMs: 0,
  registeredAt: 7,
  agoMs: 20,
  hasDeparted: false,
};

function rig() {
  const lines: ExchangeReport[] = [];
  const log = {
    info: (_event: string, line: ExchangeReport) => lines.push(line),
  };
  const clock = {monotonicMs: () => 0, wallMs: () => 0};
  return {lines, requestLog: RequestLog.create(log as never, clock)};
}

test('an answered request that was sent late to a target has a line beside many others', () => {
  const {lines, requestLog} = rig();
  for (let i = 0; i < 1000; i++) {
    requestLog.onEnd({...report('answered'), sent: SENT});
  }
  const notable = [
    {...SENT, hasDeparted: true},
    {...SENT, storeLostMs: 400},
    {...SENT, listAgeMs: 1500},
  ];
  for (const [i, sent] of notable.entries()) {
    requestLog.onEnd({...report('answered'), attemptId: `late-${i}`, sent});
  }
  requestLog.onEnd({...report('answered'), attemptId: 'again', sends: 2});
  const ids = lines.map(({attemptId}) => attemptId);
  assert.deepEqual(ids, ['x', 'x', 'late-0', 'late-1', 'late-2', 'again']);
});

test('limits the lines a second and counts the requests that are left out', () => {
  const lines: {leftOut: number}[] = [];
  const log = {
    info: (_event: string, fields: {leftOut: number}) => lines.push(fields),
  };
  let nowMs = 0;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const requestLog = RequestLog.create(log as unknown as Logger, clock);
  for (let i = 0; i < 10_000; i++) {
    nowMs = i;
    requestLog.onEnd(report(i % 2 === 0 ? 'answered' : 'reset'));
  }
  // 2 answered and 50 other requests in each of the 10 seconds.
  assert.ok(lines.length <= 10 * 52, `${lines.length}`);
  const leftOut = lines.reduce((sum, line) => sum + line.leftOut, 0);
  // Requests left out after the last line are not counted yet.
  assert.ok(lines.length + leftOut > 9000);
});
