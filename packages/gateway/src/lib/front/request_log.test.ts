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
    failure: undefined,
    placed: undefined,
    refusedFor: undefined,
    headMs: 1,
    elapsedMs: 2,
    configVersion: 1,
  };
}

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
