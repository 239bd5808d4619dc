import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {LoadTotals} from '../state/load_totals.js';
import {LoadDiff} from './load_diff.js';
import {AggregateTable} from './aggregate_table.js';
import {AGGREGATE_SCOPE} from './aggregate_message.js';

import type {LoadRow} from '../state/load_totals.js';
import type {AggregateMessage} from './aggregate_message.js';

const TARGETS = ['s', 't', 'u'];
const ignore = () => undefined;

function aggregate(change: Partial<AggregateMessage>): AggregateMessage {
  return {
    scope: AGGREGATE_SCOPE.group,
    instance: 'a',
    incarnation: 1,
    sequence: 1,
    group: 1,
    instanceCount: 8,
    isFull: true,
    loads: [],
    usage: [],
    placements: [],
    notices: [],
    ...change,
  };
}

function rowsOf(running: readonly number[]): LoadRow[] {
  return running.flatMap((count, i) =>
    count === 0
      ? []
      : [{target: TARGETS[i], running: count, prefillTokens: 0, kvTokens: 0}]
  );
}

test('a full message corrects the totals after lost ones', () => {
  const step = fc.record({
    running: fc.array(fc.integer({min: 0, max: 3}), {
      minLength: 3,
      maxLength: 3,
    }),
    isLost: fc.boolean(),
    isFull: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {minLength: 1, maxLength: 30}), steps => {
      const loads = LoadTotals.create();
      const table = AggregateTable.create(loads);
      const diff = LoadDiff.create();
      let lostSinceFull = false;
      for (const [index, {running, isLost, isFull}] of steps.entries()) {
        const rows = rowsOf(running);
        const changed = diff.changedRows(rows);
        const sent = isFull ? rows : changed;
        const sequence = index + 1;
        if (isLost) {
          lostSinceFull = true;
          continue;
        }
        table.onAggregate(
          aggregate({sequence, isFull, loads: sent}),
          0,
          ignore
        );
        lostSinceFull = lostSinceFull && !isFull;
        if (lostSinceFull) continue;
        for (const [i, target] of TARGETS.entries()) {
          assert.equal(loads.of(target).running, running[i]);
        }
      }
      table.evictStale(10_000);
      for (const target of TARGETS) assert.equal(loads.of(target).running, 0);
    })
  );
});

test('the aggregate of a new relay replaces that of the former relay', () => {
  const loads = LoadTotals.create();
  const table = AggregateTable.create(loads);
  const sent = (instance: string, running: number, sequence: number) =>
    table.onAggregate(
      aggregate({instance, sequence, loads: rowsOf([running])}),
      0,
      ignore
    );
  sent('a', 5, 90);
  sent('b', 3, 1);
  assert.equal(loads.of('s').running, 3);
  assert.equal(table.evictStale(0), 8);
});

test('the first totals of a relay are only the base for later ones', () => {
  const table = AggregateTable.create(LoadTotals.create());
  let total = 0;
  for (const [index, tokens] of [5000, 5400, 5600].entries()) {
    const usage = [
      {pool: '', customer: 'c', requested: tokens, admitted: tokens},
    ];
    table.onAggregate(aggregate({sequence: index + 1, usage}), 0, row => {
      total += row.admitted;
    });
  }
  assert.equal(total, 600);
});

test('a late aggregate of a former incarnation does not replace the newer one', () => {
  const loads = LoadTotals.create();
  const table = AggregateTable.create(loads);
  const send = (change: Partial<AggregateMessage>, running: number) => {
    const message = aggregate({...change, loads: rowsOf([running])});
    return table.onAggregate(message, 0, ignore);
  };
  assert.equal(send({incarnation: 9, sequence: 40}, 7), 'started');
  assert.equal(send({incarnation: 2, sequence: 1}, 1), 'started');
  assert.equal(send({incarnation: 9, sequence: 41}, 8), 'stale');
  assert.equal(loads.of('s').running, 1);
});

test('a relay that takes its role back is heard, but not what it sent before', () => {
  const loads = LoadTotals.create();
  const table = AggregateTable.create(loads);
  const send = (instance: string, sequence: number, running: number) => {
    const message = aggregate({instance, sequence, loads: rowsOf([running])});
    return table.onAggregate(message, 0, ignore);
  };
  send('a', 40, 5);
  send('b', 1, 3);
  assert.equal(send('a', 39, 6), 'stale');
  assert.equal(loads.of('s').running, 3);
  assert.equal(send('a', 41, 4), 'started');
  assert.equal(loads.of('s').running, 4);
});
