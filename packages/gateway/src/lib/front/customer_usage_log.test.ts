import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ENGINE_POOL} from '@applebend/routing';
import {CustomerUsageLog} from './customer_usage_log.js';

import type {Logger} from '@applebend/telemetry';
import type {CustomerUsageRow} from './customer_usage_log.js';

interface Line {
  readonly second: number;
  readonly uses: readonly CustomerUsageRow[];
  readonly customersLeftOut: number;
}

/**
 * The lines of a run in which each customer sends 100 requests a second, of
 * which every other one is refused.
 */
function logLines(customers: number, seconds: number): Line[] {
  const lines: Line[] = [];
  const log = {info: (_event: string, fields: Line) => lines.push(fields)};
  let nowMs = 0;
  const clock = {monotonicMs: () => nowMs, wallMs: () => nowMs};
  const usageLog = CustomerUsageLog.create(
    log as unknown as Logger,
    clock,
    () => ({
      owed: 1000,
      even: 2000,
    })
  );
  for (; nowMs < seconds * 1000; nowMs += 10) {
    for (let i = 0; i < customers; i++) {
      const tokens = 10 + i;
      usageLog.onUsage({
        pool: ENGINE_POOL,
        customer: `customer-${i}`,
        requested: tokens,
        admitted: nowMs % 20 === 0 ? tokens : 0,
      });
    }
  }
  usageLog.flush();
  return lines;
}

test('each second has a line with requested and admitted tokens and refusals', () => {
  const lines = logLines(2, 3);
  assert.deepEqual(
    lines.map(({second}) => second),
    [0, 1, 2]
  );
  const {uses, customersLeftOut} = lines[1];
  assert.equal(customersLeftOut, 0);
  assert.deepEqual(uses, [
    {customer: 'customer-1', asked: 1100, given: 550, refusals: 50},
    {customer: 'customer-0', asked: 1000, given: 500, refusals: 50},
  ]);
});

test('a line lists a limited number of customers and counts the others', () => {
  const [line] = logLines(900, 1);
  assert.equal(line.uses.length + line.customersLeftOut, 900);
  // Without a limit on rows, the line would grow with the customers.
  assert.ok(JSON.stringify(line).length < 4096);
  assert.equal(line.uses[0].customer, 'customer-899');
});
