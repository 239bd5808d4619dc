import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ENGINE_POOL} from '@applebend/routing';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {FleetState} from './fleet_state.js';

import type {StateSource} from '../ports.js';
import type {GatewaySettings} from '../settings.js';

const PEER_POOLS = 1000;

test('pools that a peer makes up do not fill the memory', () => {
  const settings = {
    failureDomain: 'hall-a',
    shareWindowMs: 4000,
    coldBound: {overage: Infinity, slack: 0},
  } as unknown as GatewaySettings;
  const inspector = {inspect: () => Promise.resolve(undefined)};
  const log = Logger.create(LOG_LEVEL.error, {});
  const source = {} as StateSource;
  const state = FleetState.create(settings, source, inspector, log);
  const usage = {customer: 'c', requested: 1, admitted: 1};
  state.addPeerUsage({pool: ENGINE_POOL, ...usage}, 0);
  for (let i = 0; i < PEER_POOLS; i += 1) {
    state.addPeerUsage({pool: `made-up-${i}`, ...usage}, 0);
  }
  assert.equal(state.poolCount, 1);
});
