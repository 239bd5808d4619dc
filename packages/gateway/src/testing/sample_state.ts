import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {FleetState} from '../lib/state/fleet_state.js';

import type {StateSource} from '../lib/ports.js';
import type {GatewaySettings} from '../lib/settings.js';

/** The state of an instance that has read nothing yet. */
export function sampleState(): FleetState {
  const settings = {
    failureDomain: 'hall-a',
    shareWindowMs: 4000,
    coldBound: {overage: Infinity, slack: 0},
  } as unknown as GatewaySettings;
  const inspector = {inspect: () => Promise.resolve(undefined)};
  const log = Logger.create(LOG_LEVEL.error, {});
  return FleetState.create(settings, {} as StateSource, inspector, log);
}
