import assert from 'node:assert/strict';
import {test} from 'node:test';
import {dispatcherOf, slotSharers} from './fleet_view.js';

import type {FleetView} from './fleet_view.js';

/** Instances a and b are candidates; a and c own slots, and c is silent. */
const VIEW: FleetView = {
  candidates: ['a', 'b'],
  slotOwners: ['a', 'c'],
  targets: [],
  isAlive: id => id === 'b',
  isGone: () => false,
};

/** Guards against slots that a silent instance's requests still use. */
test('a cell-wide dispatcher counts silent owners, an own one does not', () => {
  assert.deepEqual(slotSharers(VIEW, 'cell', 'a'), ['a', 'c']);
  assert.deepEqual(slotSharers(VIEW, 'entry', 'a'), ['a']);
});

/** Guards against instances that choose different dispatchers for a cell. */
test('all instances choose the same candidate for a cell', () => {
  const chosen = dispatcherOf('cell', VIEW, 'cell', 'a');
  assert.ok(chosen !== undefined && VIEW.candidates.includes(chosen));
  assert.equal(dispatcherOf('cell', VIEW, 'cell', 'c'), chosen);
  const reversed = {...VIEW, candidates: ['b', 'a']};
  assert.equal(dispatcherOf('cell', reversed, 'cell', 'b'), chosen);
  assert.equal(dispatcherOf('cell', VIEW, 'entry', 'c'), 'c');
});

/** Guards against a dispatcher chosen from an empty fleet. */
test('no instance dispatches a cell without candidates', () => {
  const empty = {...VIEW, candidates: []};
  assert.equal(dispatcherOf('cell', empty, 'cell', 'a'), undefined);
});
