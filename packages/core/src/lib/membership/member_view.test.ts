import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemberView} from './member_view.js';

const STATE = {ready: true, draining: false, revision: 1, leavingTargets: []};

function viewOf(...listed: readonly string[]): MemberView {
  const view = MemberView.create('a', 1000);
  view.onList(listed.map(id => ({id, leaving: false})));
  return view;
}

test('a silent router is no dispatcher but owns its slots while listed', () => {
  const view = viewOf('a', 'b', 'c');
  view.onHeartbeat('b', 'run-1', STATE, 0);
  view.onHeartbeat('c', 'run-1', STATE, 900);
  assert.deepEqual(view.dispatcherCandidates(1500, true), ['a', 'c']);
  assert.deepEqual(view.slotOwners(1500), ['a', 'b', 'c']);
  assert.equal(view.isGone('b', 1500), false);
  view.onList([
    {id: 'a', leaving: false},
    {id: 'c', leaving: false},
  ]);
  assert.equal(view.isGone('b', 1500), true);
  assert.deepEqual(view.slotOwners(1500), ['a', 'c']);
});

test('a goodbye applies to one incarnation of a router only', () => {
  const view = viewOf('a', 'b');
  view.onHeartbeat('b', 'run-1', STATE, 0);
  view.onGoodbye('b');
  assert.equal(view.isGone('b', 0), true);
  view.onHeartbeat('b', 'run-1', STATE, 10);
  assert.equal(view.isGone('b', 10), true, 'a late heartbeat');
  view.onHeartbeat('b', 'run-2', STATE, 20);
  assert.equal(view.isGone('b', 20), false);
});

test('a pause of this process does not make its peers silent', () => {
  const view = viewOf('a', 'b');
  view.onHeartbeat('b', 'run-1', STATE, 0);
  view.onPause(5000);
  assert.equal(view.isAlive('b', 5500), true);
});

test('a router that is draining or not ready is no dispatcher', () => {
  const view = viewOf('a', 'b');
  view.onHeartbeat('b', 'run-1', {...STATE, draining: true}, 0);
  assert.deepEqual(view.dispatcherCandidates(0, true), ['a']);
  view.onHeartbeat('b', 'run-1', {...STATE, ready: false}, 0);
  assert.deepEqual(view.dispatcherCandidates(0, true), ['a']);
  view.onHeartbeat('b', 'run-1', STATE, 0);
  assert.deepEqual(view.dispatcherCandidates(0, false), ['b']);
});

test('a router without peers is its own dispatcher', () => {
  assert.deepEqual(viewOf('a').dispatcherCandidates(0, false), ['a']);
});
