import type {QueueRules} from '../dispatch_types.js';

export const INSTANCES = ['a', 'b', 'c'];
export const TARGETS = ['t1', 't2'];
export const SLOTS = 3;
export const SHORT_CALL_SLOTS = 1;
export const LEASE_MS = 1000;
export const SHARES: Record<string, number> = {large: 4, small: 1, tiny: 0.5};
export const CUSTOMERS = Object.keys(SHARES);
export const MAX_COST = 400;
/** The longest ejection of a lost target. */
export const MAX_EJECTION_MS = 8000;

/** The queueing rules of every customer; `check` is a class of short calls. */
export const rulesOf = (customer: string, className: string): QueueRules => ({
  share: SHARES[customer] ?? 1,
  maxQueued: 40,
  priority: className === 'check' ? 1 : 5,
  short: className === 'check',
  maxWaitMs: 500,
});
