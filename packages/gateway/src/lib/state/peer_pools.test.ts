import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ENGINE_POOL} from '@applebend/routing';
import {sampleState} from '../../testing/sample_state.js';

const PEER_POOLS = 1000;

test('pools that a peer makes up do not fill the memory', () => {
  const state = sampleState();
  const usage = {customer: 'c', requested: 1, admitted: 1};
  state.addPeerUsage({pool: ENGINE_POOL, ...usage}, 0);
  for (let i = 0; i < PEER_POOLS; i += 1) {
    state.addPeerUsage({pool: `made-up-${i}`, ...usage}, 0);
  }
  assert.equal(state.poolCount, 1);
});
