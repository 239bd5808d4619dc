import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  foldConfig,
  INITIAL_CONFIG_STATE,
  snapshotOf,
  stateFromSnapshot,
} from './config_fold.js';

import type {ConfigState} from './config_fold.js';

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

function fold(state: ConfigState, offset: number, data: unknown): ConfigState {
  return foldConfig(state, {offset, data});
}

test('racing changes get one winner and a typed conflict', () => {
  const first = change('a', 0, {templates: {small: TEMPLATE}});
  const second = change('b', 0, {templates: {large: TEMPLATE}});
  let state = fold(INITIAL_CONFIG_STATE, 0, first);
  state = fold(state, 1, second);
  assert.equal(state.revision, 1);
  assert.deepEqual(Object.keys(state.config.templates), ['small']);
  assert.deepEqual(
    state.fates.map(fate => fate.accepted),
    [true, false]
  );
  assert.match(state.fates[1]?.reason ?? '', /^conflict/);
});

test('a change that would leave a broken reference is rejected', () => {
  const broken = change('a', 0, {customers: {kpone: {template: 'none'}}});
  const state = fold(INITIAL_CONFIG_STATE, 0, broken);
  assert.equal(state.revision, 0);
  assert.match(state.fates[0]?.reason ?? '', /^invalid: customers.kpone/);
});

test('a change that was appended twice takes effect once', () => {
  const record = change('a', 0, {templates: {small: TEMPLATE}});
  let state = fold(INITIAL_CONFIG_STATE, 0, record);
  state = fold(state, 1, record);
  assert.equal(state.revision, 1);
  assert.equal(state.fates.length, 1);
});

test('malformed records are passed over by all alike', () => {
  const state = fold(INITIAL_CONFIG_STATE, 0, {type: 'nonsense'});
  assert.equal(state.nextOffset, 1);
  assert.equal(state.revision, 0);
});

test('a snapshot carries state and fates, and replays nothing twice', () => {
  const record = change('a', 0, {templates: {small: TEMPLATE}});
  const state = fold(INITIAL_CONFIG_STATE, 0, record);
  const restored = stateFromSnapshot(
    JSON.parse(JSON.stringify(snapshotOf(state)))
  );
  assert.deepEqual(restored, state);
  assert.deepEqual(fold(state, 0, record), state);
});
