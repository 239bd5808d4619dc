import assert from 'node:assert/strict';
import {test} from 'node:test';
import {incarnationOf} from '@applebend/routing';
import {sampleState} from '../../testing/sample_state.js';
import {sampleTarget} from '../../testing/sample_target.js';
import {applyNotice} from '../peers/notice.js';
import {candidatesFor} from '../upstream/candidates.js';

import type {Target} from '@applebend/routing';
import type {FleetState} from './fleet_state.js';

const SERVICE = 'app';

const targets = ['t-1', 't-2', 't-3'].map((id, i) =>
  sampleTarget({id, port: i + 1})
);

function stateWith(list: readonly Target[]): FleetState {
  const state = sampleState();
  register(state, list, 0);
  return state;
}

function register(state: FleetState, list: readonly Target[], nowMs: number) {
  const read = {targets: [...list], storeEra: 0, restoredBefore: 0};
  state.onTargets(read, nowMs);
}

function candidateIds(state: FleetState, mayTryEjected = true): string[] {
  return candidatesFor(state.targets.readyTargets(SERVICE), {
    prompt: undefined,
    failureDomain: 'hall-a',
    softwareVersion: undefined,
    tried: new Set(),
    mayTryEjected,
    nowMs: performance.now(),
    random: () => 0,
  }).map(({id}) => id);
}

const hearLoss = (state: FleetState, target: Target): void =>
  applyNotice({kind: 'refused', target: incarnationOf(target)}, state, 0);

test('a lost target, which looks idle, is no candidate while there are others', () => {
  const state = stateWith(targets);
  hearLoss(state, targets[0]);
  assert.deepEqual(candidateIds(state), ['t-2', 't-3']);
});

test('lost targets are tried if there are no others, but not by every retry', () => {
  const state = stateWith(targets);
  for (const target of targets) hearLoss(state, target);
  assert.equal(candidateIds(state).length, targets.length);
  assert.deepEqual(candidateIds(state, false), []);
});

test('the next incarnation of a lost target is a candidate at once', () => {
  const state = stateWith(targets);
  hearLoss(state, targets[0]);
  const again = {...targets[0], startedAtMs: 2, registeredAt: 2};
  register(state, [again, ...targets.slice(1)], 1);
  hearLoss(state, targets[0]);
  assert.deepEqual(candidateIds(state), ['t-1', 't-2', 't-3']);
});
