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

// Costs per unit at several sizes, to extrapolate to the size in two years.
measureDispatch();
measureMessages();
measureClaims();
measureConfig();
measureMembership();
await measureIdleFleets();
printSlopes();
process.exit(0);
