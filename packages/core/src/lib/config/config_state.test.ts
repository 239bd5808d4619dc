import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  applyConfigRecord,
  configSnapshotOf,
  configStateFromSnapshot,
  INITIAL_CONFIG_STATE,
} from './config_state.js';

import type {ConfigState} from './config_state.js';

const TEMPLATE = {classes: [{name: 'any'}]};

function change(changeId: string, base: number, upserts: unknown) {
  return {
    type: 'change',
    changeId,
    base,
    author: 'test',
    upserts,
    removals: {},
  };
}

function apply(state: ConfigState, offset: number, data: unknown): ConfigState {
  return applyConfigRecord(state, {offset, data});
}

test('of two changes with the same base, the second is rejected', () => {
  const first = change('a', 0, {templates: {small: TEMPLATE}});
  const second = change('b', 0, {templates: {large: TEMPLATE}});
  let state = apply(INITIAL_CONFIG_STATE, 0, first);
  state = apply(state, 1, second);
  assert.equal(state.revision, 1);
  assert.deepEqual(Object.keys(state.config.templates), ['small']);
  assert.deepEqual(
    state.outcomes.map(outcome => outcome.accepted),
    [true, false]
  );
  assert.match(state.outcomes[1]?.reason ?? '', /^conflict/);
});

test('a change that leaves a broken reference is rejected', () => {
  const broken = change('a', 0, {customers: {kpone: {template: 'none'}}});
  const state = apply(INITIAL_CONFIG_STATE, 0, broken);
  assert.equal(state.revision, 0);
  assert.match(state.outcomes[0]?.reason ?? '', /^invalid: customers.kpone/);
});

test('a change that is appended twice takes effect once', () => {
  const record = change('a', 0, {templates: {small: TEMPLATE}});
  let state = apply(INITIAL_CONFIG_STATE, 0, record);
  state = apply(state, 1, record);
  assert.equal(state.revision, 1);
  assert.equal(state.outcomes.length, 1);
});

test('a malformed record is skipped', () => {
  const state = apply(INITIAL_CONFIG_STATE, 0, {type: 'nonsense'});
  assert.equal(state.nextOffset, 1);
  assert.equal(state.revision, 0);
});

test('a snapshot restores the state, and older records are ignored', () => {
  const record = change('a', 0, {templates: {small: TEMPLATE}});
  const state = apply(INITIAL_CONFIG_STATE, 0, record);
  const restored = configStateFromSnapshot(
    JSON.parse(JSON.stringify(configSnapshotOf(state)))
  );
  assert.deepEqual(restored, state);
  assert.deepEqual(apply(state, 0, record), state);
});
