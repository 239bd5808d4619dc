import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SlotTable} from './slot_table.js';

import type {SlotSettings} from './slot_table.js';

function settingsOf(slots: number): SlotSettings {
  const limits = {
    startSlots: slots,
    maxSlots: slots,
    firstTokenTargetMs: 890,
    betweenTokensTargetMs: 46,
  };
  return {limits, shortCallSlots: 0};
}

function tableOf(
  routers: readonly string[],
  synced: readonly string[],
  slots: number
): SlotTable {
  const table = SlotTable.create(settingsOf(slots));
  table.setTargets([{id: 't1', leaving: false}]);
  table.setRouters(routers, new Set(synced));
  return table;
}

test('the sides of a network partition share each limit exactly', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 12}),
      fc.integer({min: 1, max: 64}),
      fc.infiniteStream(fc.nat(2)),
      (count, slots, sides) => {
        const routers = Array.from({length: count}, (_, i) => `entry-${i}`);
        const groups: string[][] = [[], [], []];
        for (const router of routers) {
          const side = sides.next().value as number;
          groups[side]?.push(router);
        }
        let usable = 0;
        for (const group of groups) {
          usable += tableOf(routers, group, slots).usableSlots();
        }
        assert.equal(usable, slots);
      }
    ),
    {numRuns: 200, seed: 20261203}
  );
});

test('a target is ejected for longer after each consecutive loss', () => {
  const table = tableOf(['a'], ['a'], 1);
  let nowMs = 0;
  const ejectionsMs: number[] = [];
  for (let i = 0; i < 6; i++) {
    table.onLost('t1', nowMs);
    const lostAtMs = nowMs;
    while (!table.hasFreeSlot(false, nowMs)) nowMs += 100;
    ejectionsMs.push(nowMs - lostAtMs);
  }
  assert.deepEqual(ejectionsMs, [500, 1000, 2000, 4000, 8000, 8000]);
  table.onResponse('t1', undefined);
  table.onLost('t1', nowMs);
  assert.ok(table.hasFreeSlot(false, nowMs + 500));
});

test('an orphaned slot is not free until it is released', () => {
  const table = tableOf(['a', 'b'], ['a', 'b'], 2);
  table.occupy('t1');
  table.occupy('t1');
  assert.equal(table.hasFreeSlot(false, 0), false);
  table.orphan('t1');
  assert.equal(
    table.hasFreeSlot(false, 0),
    false,
    'the request may still be running'
  );
  table.releaseOrphan('t1');
  assert.equal(table.hasFreeSlot(false, 0), true);
});

test('a changed limit applies to existing targets', () => {
  const table = tableOf(['a'], ['a'], 1);
  table.occupy('t1');
  assert.equal(table.hasFreeSlot(false, 0), false);
  table.setSettings(settingsOf(3));
  assert.equal(table.usableSlots(), 3);
  assert.equal(table.hasFreeSlot(false, 0), true);
  table.setSettings(settingsOf(1));
  assert.equal(table.hasFreeSlot(false, 0), false);
});
