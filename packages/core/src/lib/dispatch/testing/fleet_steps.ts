import fc from 'fast-check';
import {CUSTOMERS, MAX_COST} from './fleet_settings.js';

import type {SlotOutcome} from '../dispatch_types.js';

/** What callers, the network and time do in a run without faults. */
export const step = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      entry: fc.nat(2),
      customer: fc.constantFrom(...CUSTOMERS),
      className: fc.constantFrom('check', 'layout'),
      estimate: fc.integer({min: 1, max: MAX_COST}),
    }),
  },
  {
    weight: 30,
    arbitrary: fc.record({
      type: fc.constant('deliver' as const),
      pick: fc.nat(50),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      type: fc.constant('finish' as const),
      pick: fc.nat(50),
      cost: fc.integer({min: 1, max: MAX_COST}),
      outcome: fc.constantFrom<SlotOutcome>('answered', 'answered', 'failed'),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('cancel' as const),
      pick: fc.nat(50),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('progress' as const),
      pick: fc.nat(50),
      cost: fc.integer({min: 1, max: MAX_COST}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      ms: fc.integer({min: 1, max: 3000}),
    }),
  }
);

/** Faults, changes of dispatchers and changes of targets. */
export const fault = fc.oneof(
  fc.record({
    type: fc.constant('break_link' as const),
    a: fc.nat(2),
    b: fc.nat(2),
  }),
  fc.record({
    type: fc.constant('set_dispatcher' as const),
    entry: fc.nat(2),
    peer: fc.nat(2),
  }),
  fc.record({type: fc.constant('crash' as const), entry: fc.nat(2)}),
  fc.record({type: fc.constant('confirm_left' as const), entry: fc.nat(2)}),
  fc.record({type: fc.constant('lose_target' as const), target: fc.nat(1)}),
  fc.record({
    type: fc.constant('leave_target' as const),
    target: fc.nat(1),
    leaving: fc.boolean(),
  })
);

/** One step of a run. */
export type Step =
  | (typeof step extends fc.Arbitrary<infer S> ? S : never)
  | (typeof fault extends fc.Arbitrary<infer F> ? F : never);
