import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {LoadTotals} from '../state/load_totals.js';
import {PeerBoard} from './peer_board.js';

import type {PeerMessage} from './peer_message.js';

function message(change: Partial<PeerMessage>): PeerMessage {
  return {
    instance: 'a',
    incarnation: 1,
    sequence: 1,
    leaving: false,
    targets: {key: 0, ageMs: 0},
    loads: [],
    uses: [],
    placed: [],
    ...change,
  };
}

const ignore = () => undefined;

test('lost, repeated and crossed messages leave the newest of each peer', () => {
  const sent = fc.record({
    instance: fc.constantFrom('a', 'b', 'c'),
    sequence: fc.integer({min: 1, max: 30}),
    running: fc.integer({min: 1, max: 9}),
  });
  fc.assert(
    fc.property(fc.array(sent, {maxLength: 60}), arrivals => {
      const loads = LoadTotals.create();
      const board = PeerBoard.create(loads);
      const newest = new Map<string, {sequence: number; running: number}>();
      for (const {instance, sequence, running} of arrivals) {
        const row = {target: 't', running, prefillTokens: 0, kvTokens: 0};
        const rows = message({instance, sequence, loads: [row]});
        board.onMessage(rows, 0, ignore);
        const known = newest.get(instance);
        if (known === undefined || sequence > known.sequence) {
          newest.set(instance, {sequence, running});
        }
      }
      const sum = [...newest.values()].reduce((n, m) => n + m.running, 0);
      assert.equal(loads.of('t').running, sum);
      board.sweep(10_000);
      assert.equal(loads.of('t').running, 0);
    })
  );
});

test('uses count once, whatever is lost between', () => {
  const board = PeerBoard.create(LoadTotals.create());
  const use = (admitted: number) => [
    {customer: 'c', requested: admitted, admitted},
  ];
  let given = 0;
  const add = (row: {admitted: number}) => (given += row.admitted);
  board.onMessage(message({sequence: 1}), 0, add);
  board.onMessage(message({sequence: 2, uses: use(100)}), 0, add);
  board.onMessage(message({sequence: 5, uses: use(400)}), 0, add);
  board.onMessage(message({sequence: 4, uses: use(300)}), 0, add);
  assert.equal(given, 400);
  const next = message({incarnation: 2, sequence: 1, uses: use(50)});
  board.onMessage(next, 0, add);
  assert.equal(given, 450);
});

test('a peer that is leaving or silent does not count as serving', () => {
  const board = PeerBoard.create(LoadTotals.create());
  board.onMessage(message({instance: 'a'}), 0, ignore);
  board.onMessage(message({instance: 'b', leaving: true}), 0, ignore);
  assert.equal(board.sweep(100), 1);
  assert.equal(board.sweep(5000), 0);
});

test('what a peer had used before it was first heard is not new', () => {
  const board = PeerBoard.create(LoadTotals.create());
  let given = 0;
  const add = (row: {admitted: number}) => (given += row.admitted);
  const use = (customer: string, tokens: number) => [
    {customer, requested: tokens, admitted: tokens},
  ];
  board.onMessage(message({sequence: 900, uses: use('c', 5000)}), 0, add);
  board.onMessage(message({sequence: 901, uses: use('d', 7000)}), 0, add);
  assert.equal(given, 0);
  board.onMessage(message({sequence: 902, uses: use('d', 7100)}), 0, add);
  assert.equal(given, 100);
});
