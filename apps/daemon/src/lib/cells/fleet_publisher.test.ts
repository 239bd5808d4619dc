import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemberView} from '@applebend/core';
import {TargetDirectory} from '../membership/target_directory.js';
import {FleetPublisher} from './fleet_publisher.js';

import type {FleetView} from './fleet_view.js';

const SILENCE_MS = 1000;

/** The publisher of instance a, with one cell that records its views. */
function publisherOf(...listed: readonly string[]) {
  const view = MemberView.create('a', SILENCE_MS);
  view.onList(listed.map(id => ({id, leaving: false})));
  const targets = TargetDirectory.create();
  const state = {revision: 1, session: 1, canDispatch: true, heartbeats: 0};
  const views: FleetView[] = [];
  const cell = {
    heartbeatOwnEntry: () => {
      state.heartbeats += 1;
    },
    onFleet: (fleet: FleetView) => void views.push(fleet),
  };
  const publisher = FleetPublisher.create({
    membership: {view, targets, routersKey: ''},
    cells: [['service', cell]],
    clock: {monotonicMs: () => 0, wallMs: () => 0},
    revision: () => state.revision,
    canDispatch: () => state.canDispatch,
    sessionOf: () => state.session,
  });
  return {publisher, targets, state, views};
}

/** Guards against cells that are recomputed every 100 ms without a change. */
test('an unchanged view is not passed on, but own heartbeats are', () => {
  const {publisher, state, views} = publisherOf('a', 'b');
  publisher.publish();
  publisher.publish();
  assert.equal(views.length, 1);
  assert.equal(state.heartbeats, 2);
  assert.deepEqual(views[0]?.slotOwners, ['a', 'b']);
});

/** Guards against a cell that keeps a view of the fleet that is outdated. */
test('each change that a cell depends on is passed on', () => {
  const {publisher, targets, state, views} = publisherOf('a', 'b');
  const changes = [
    () => (state.revision += 1),
    () => (state.session += 1),
    () => (targets.version += 1),
  ];
  publisher.publish();
  for (const [index, change] of changes.entries()) {
    change();
    publisher.publish();
    assert.equal(views.length, index + 2);
  }
});
