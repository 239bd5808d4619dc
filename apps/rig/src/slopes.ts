/**
 * `npm run slopes`: what one unit of each thing costs, measured at several
 * sizes, so that the two-year size can be worked out from it.
 */
import {
  measureDispatch,
  measureMessages,
} from './lib/slopes/dispatch_slopes.js';
import {measureIdleFleets} from './lib/slopes/fleet_slopes.js';
import {printSlopes} from './lib/slopes/slope_table.js';
import {
  measureClaims,
  measureConfig,
  measureMembership,
} from './lib/slopes/state_slopes.js';

measureDispatch();
measureMessages();
measureClaims();
measureConfig();
measureMembership();
await measureIdleFleets();
printSlopes();
process.exit(0);
