import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RouteTable} from '@applebend/routing';
import {systemClock} from '@applebend/utils';
import {sampleTarget} from '../../testing/sample_target.js';
import {FleetState} from './fleet_state.js';

import type {FleetConfig, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {StateSource} from '../ports.js';
import type {GatewaySettings} from '../settings.js';

const SERVICE = 'llm';
const ENGINE = {slots: 4, kvTokens: 1000};

/** An instance that records the ids of the engines that it queries. */
function createState(coldPerS: number) {
  const queried: string[] = [];
  const settings = {
    instance: 'entry-1',
    failureDomain: 'hall-a',
    isFleetBootstrap: false,
    shareWindowMs: 4000,
    coldBound: {overage: 1.5, slack: 5},
  } as unknown as GatewaySettings;
  const log = {info: () => undefined} as unknown as Logger;
  const inspector = {
    inspect: ({id}: Target) => {
      queried.push(id);
      return Promise.resolve(undefined);
    },
  };
  const source = {} as StateSource;
  const state = FleetState.create(settings, source, inspector, log);
  const coldStart = {ratePerS: coldPerS, durationMs: 60_000};
  const service = {name: SERVICE, engine: ENGINE, coldStart};
  const config = {
    version: 1,
    routes: RouteTable.create([]),
    services: new Map([[SERVICE, service]]),
  } as unknown as FleetConfig;
  state.onConfig(config, systemClock.monotonicMs());
  return {state, queried};
}

function register(
  state: FleetState,
  registeredAt: number,
  coldLeftMs: number
): void {
  const target = sampleTarget({service: SERVICE, registeredAt, coldLeftMs});
  const list = {targets: [target], storeEra: 0, restoredBefore: 0};
  state.onTargets(list, systemClock.monotonicMs());
}

test('an engine that starts is not sent queries by all instances while it is cold', () => {
  const {state, queried} = createState(7.8);
  register(state, 1, 60_000);
  assert.deepEqual(queried, []);
  register(state, 2, 0);
  assert.deepEqual(queried, ['t-1']);
});

test('without a cold rate an engine is queried whatever its registration says', () => {
  const {state, queried} = createState(0);
  register(state, 1, 60_000);
  assert.deepEqual(queried, ['t-1']);
});
