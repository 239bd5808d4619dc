import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FleetLayout, relayOf} from './fleet_layout.js';

import type {Member} from './fleet_layout.js';

const fleet = fc.uniqueArray(
  fc.record({
    instance: fc.string({minLength: 1, maxLength: 6}),
    failureDomain: fc.constantFrom('a', 'b', 'c', 'd'),
    capacity: fc.constantFrom(0.3, 0.7, 1.3),
  }),
  {selector: ({instance}) => instance, maxLength: 120}
);

test('every instance is in one group of its domain in any list order', () => {
  fc.assert(
    fc.property(fleet, fc.integer(), (members: Member[], seed) => {
      const layout = FleetLayout.create(members);
      const shuffled = [...members].sort(
        (a, b) => hash(a.instance, seed) - hash(b.instance, seed)
      );
      assert.deepEqual(FleetLayout.create(shuffled).groups, layout.groups);
      assert.equal(layout.groups.flat().length, members.length);
      for (const [index, group] of layout.groups.entries()) {
        if (layout.hasMultipleGroups) {
          assert.ok(group.length > 0 && group.length <= 8);
          assert.equal(new Set(group.map(m => m.failureDomain)).size, 1);
        }
        for (const {instance} of group) {
          assert.equal(layout.groupOf(instance), index);
        }
      }
    })
  );
});

test('nine instances form one group, relayed by the highest live capacity', () => {
  const members = Array.from({length: 9}, (_, i) => ({
    instance: `entry-${i}`,
    failureDomain: `hall-${i % 3}`,
    capacity: i === 7 ? 2 : 1,
  }));
  const layout = FleetLayout.create(members);
  assert.equal(layout.hasMultipleGroups, false);
  const [group] = layout.groups;
  assert.equal(relayOf(group, () => true)?.instance, 'entry-7');
  const others = relayOf(group, instance => instance !== 'entry-7');
  assert.equal(others?.instance, 'entry-0');
  assert.equal(
    relayOf(group, () => false),
    undefined
  );
});

function hash(text: string, seed: number): number {
  let sum = seed;
  for (const char of text) sum = (sum * 31 + char.charCodeAt(0)) % 1_000_003;
  return sum;
}
