import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {LoadTotals} from '../state/load_totals.js';
import {RowDiff} from './row_diff.js';
import {SummaryBoard} from './summary_board.js';
import {SUMMARY_SCOPE} from './summary_message.js';

import type {LoadRow} from '../state/load_totals.js';
import type {SummaryMessage} from './summary_message.js';

const TARGETS = ['s', 't', 'u'];
const ignore = () => undefined;

function summary(change: Partial<SummaryMessage>): SummaryMessage {
  return {
    scope: SUMMARY_SCOPE.group,
    instance: 'a',
    incarnation: 1,
    sequence: 1,
    group: 1,
    serving: 8,
    isFull: true,
    loads: [],
    uses: [],
    placed: [],
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

test('whatever is lost, the next full message sets the sums right', () => {
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
      const board = SummaryBoard.create(loads);
      const diff = RowDiff.create();
      let lostSinceFull = false;
      for (const [index, {running, isLost, isFull}] of steps.entries()) {
        const rows = rowsOf(running);
        const changed = diff.changed(rows);
        const told = isFull ? rows : changed;
        const sequence = index + 1;
        if (isLost) {
          lostSinceFull = true;
          continue;
        }
        board.onSummary(summary({sequence, isFull, loads: told}), 0, ignore);
        lostSinceFull = lostSinceFull && !isFull;
        if (lostSinceFull) continue;
        for (const [i, target] of TARGETS.entries()) {
          assert.equal(loads.of(target).running, running[i]);
        }
      }
      board.sweep(10_000);
      for (const target of TARGETS) assert.equal(loads.of(target).running, 0);
    })
  );
});

test('a new relay takes the place of the last one of its group', () => {
  const loads = LoadTotals.create();
  const board = SummaryBoard.create(loads);
  const told = (instance: string, running: number, sequence: number) =>
    board.onSummary(
      summary({instance, sequence, loads: rowsOf([running])}),
      0,
      ignore
    );
  told('a', 5, 90);
  told('b', 3, 1);
  assert.equal(loads.of('s').running, 3);
  assert.equal(board.sweep(0), 8);
});

test('uses count from the first row that a relay tells', () => {
  const board = SummaryBoard.create(LoadTotals.create());
  let given = 0;
  for (const [index, tokens] of [5000, 5400, 5600].entries()) {
    const uses = [{customer: 'c', requested: tokens, admitted: tokens}];
    board.onSummary(summary({sequence: index + 1, uses}), 0, row => {
      given += row.admitted;
    });
  }
  assert.equal(given, 600);
});
