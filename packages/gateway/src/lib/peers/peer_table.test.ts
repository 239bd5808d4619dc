import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {LoadTotals} from '../state/load_totals.js';
import {PeerTable} from './peer_table.js';

import type {PeerDatagram} from './peer_message.js';

function message(change: Partial<PeerDatagram>): PeerDatagram {
  return {
    instance: 'a',
    incarnation: 1,
    sequence: 1,
    leaving: false,
    targetList: {key: 0, ageMs: 0},
    storeEra: 0,
    configVersion: 0,
    isConfigConfirmed: false,
    sentAtMs: undefined,
    loads: [],
    usage: [],
    placements: [],
    notices: [],
    ...change,
  };
}

const ignore = () => undefined;

test('the newest message of each peer counts, whatever is lost or reordered', () => {
  const sent = fc.record({
    instance: fc.constantFrom('a', 'b', 'c'),
    sequence: fc.integer({min: 1, max: 30}),
    running: fc.integer({min: 1, max: 9}),
  });
  fc.assert(
    fc.property(fc.array(sent, {maxLength: 60}), messages => {
      const loads = LoadTotals.create();
      const table = PeerTable.create(loads);
      const newest = new Map<string, {sequence: number; running: number}>();
      for (const {instance, sequence, running} of messages) {
        const row = {target: 't', running, prefillTokens: 0, kvTokens: 0};
        const rows = message({instance, sequence, loads: [row]});
        table.onMessage(rows, 0, ignore);
        const known = newest.get(instance);
        if (known === undefined || sequence > known.sequence) {
          newest.set(instance, {sequence, running});
        }
      }
      const sum = [...newest.values()].reduce((n, m) => n + m.running, 0);
      assert.equal(loads.of('t').running, sum);
      table.evictSilent(10_000);
      assert.equal(loads.of('t').running, 0);
    })
  );
});

test('usage is counted once, whatever messages are lost', () => {
  const table = PeerTable.create(LoadTotals.create());
  const usageOf = (admitted: number) => [
    {pool: '', customer: 'c', requested: admitted, admitted},
  ];
  let total = 0;
  const addUsage = (row: {admitted: number}) => (total += row.admitted);
  table.onMessage(message({sequence: 1}), 0, addUsage);
  table.onMessage(message({sequence: 2, usage: usageOf(100)}), 0, addUsage);
  table.onMessage(message({sequence: 5, usage: usageOf(400)}), 0, addUsage);
  table.onMessage(message({sequence: 4, usage: usageOf(300)}), 0, addUsage);
  assert.equal(total, 400);
  const next = message({incarnation: 2, sequence: 1, usage: usageOf(50)});
  table.onMessage(next, 0, addUsage);
  assert.equal(total, 450);
});

test('a stopping or silent peer does not count as accepting requests', () => {
  const table = PeerTable.create(LoadTotals.create());
  table.onMessage(message({instance: 'a'}), 0, ignore);
  table.onMessage(message({instance: 'b', leaving: true}), 0, ignore);
  assert.equal(table.evictSilent(100), 1);
  assert.equal(table.evictSilent(5000), 0);
});

test('usage from before the first message received is not counted', () => {
  const table = PeerTable.create(LoadTotals.create());
  let total = 0;
  const addUsage = (row: {admitted: number}) => (total += row.admitted);
  const usageOf = (customer: string, tokens: number) => [
    {pool: '', customer, requested: tokens, admitted: tokens},
  ];
  table.onMessage(
    message({sequence: 900, usage: usageOf('c', 5000)}),
    0,
    addUsage
  );
  table.onMessage(
    message({sequence: 901, usage: usageOf('d', 7000)}),
    0,
    addUsage
  );
  assert.equal(total, 0);
  table.onMessage(
    message({sequence: 902, usage: usageOf('d', 7100)}),
    0,
    addUsage
  );
  assert.equal(total, 100);
});

test('a late message of a former incarnation does not replace the newer one', () => {
  const loads = LoadTotals.create();
  const table = PeerTable.create(loads);
  const running = (count: number) => [
    {target: 't', running: count, prefillTokens: 0, kvTokens: 0},
  ];
  const before = message({incarnation: 9, sequence: 40, loads: running(7)});
  const restarted = message({incarnation: 2, sequence: 1, loads: running(1)});
  const late = message({incarnation: 9, sequence: 41, loads: running(8)});
  assert.equal(table.onMessage(before, 0, ignore), 'started');
  assert.equal(table.onMessage(restarted, 10, ignore), 'started');
  assert.equal(table.onMessage(late, 20, ignore), 'stale');
  assert.equal(loads.of('t').running, 1);
});
