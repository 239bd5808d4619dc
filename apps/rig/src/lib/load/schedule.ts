import {Random} from '@applebend/utils';
import {CUSTOMERS} from './site.js';

import type {CustomerPlan} from './site.js';

/** Long and short model calls, and reads and bookings of the plain service. */
export type CallKind = 'layout' | 'check' | 'lookup' | 'booking';

/** A call that a customer is going to make. */
export interface PlannedCall {
  readonly id: string;
  /** Time of sending, from the start of the run. */
  readonly atMs: number;
  readonly customer: CustomerPlan;
  readonly kind: CallKind;
  /** The router that the load balancer prefers for it. */
  readonly router: number;
  /** Output tokens, which the fleet cannot know before the response ends. */
  readonly outputTokens: number;
  readonly inputTokens: number;
  readonly maxTokens: number;
}

const MS_PER_S = 1000;
const KINDS: readonly CallKind[] = ['layout', 'check', 'lookup', 'booking'];
/** Number of routers, drawn at random, that get most calls of a customer. */
const PREFERRED_ROUTERS = 2;
/** Fraction of the calls that go to a preferred router. */
const PREFERRED_FRACTION = 0.8;

/** Least and most output tokens of a call. */
const OUTPUT_TOKEN_RANGE: Record<CallKind, [number, number]> = {
  layout: [40, 240],
  check: [6, 24],
  lookup: [0, 0],
  booking: [0, 0],
};

/** `max_tokens` of a call; 0 for calls of the plain service. */
const MAX_TOKENS: Record<CallKind, number> = {
  layout: 320,
  check: 48,
  lookup: 0,
  booking: 0,
};

/** Duration and size of a load. */
export interface LoadPlan {
  readonly seconds: number;
  readonly seed: number;
  /** Fraction of the site's full load. */
  readonly scale: number;
  readonly routers: number;
}

/**
 * Plans all calls of a run, in the order of their times. The same plan always
 * gives the same calls.
 */
export function planCalls(plan: LoadPlan): PlannedCall[] {
  const {seconds, seed, scale, routers} = plan;
  const calls: PlannedCall[] = [];
  for (const [index, customer] of CUSTOMERS.entries()) {
    const random = Random.create(seed * 1000 + index);
    const preferredRouters = Array.from({length: PREFERRED_ROUTERS}, () =>
      random.int(0, routers - 1)
    );
    for (const kind of KINDS) {
      const rate = rateOf(customer, kind) * scale;
      if (rate === 0) continue;
      let atMs = random.exponential(MS_PER_S / rate);
      while (atMs < seconds * MS_PER_S) {
        calls.push(
          planOne(
            random,
            customer,
            kind,
            preferredRouters,
            routers,
            atMs,
            calls.length
          )
        );
        atMs += random.exponential(MS_PER_S / rate);
      }
    }
  }
  return calls.sort((a, b) => a.atMs - b.atMs);
}

function planOne(
  random: Random,
  customer: CustomerPlan,
  kind: CallKind,
  preferredRouters: readonly number[],
  routers: number,
  atMs: number,
  sequence: number
): PlannedCall {
  const [low, high] = OUTPUT_TOKEN_RANGE[kind];
  const router = random.chance(PREFERRED_FRACTION)
    ? random.pick(preferredRouters)
    : random.int(0, routers - 1);
  return {
    id: `${customer.name}.${kind}.${sequence}`,
    atMs,
    customer,
    kind,
    router,
    outputTokens: random.int(low, high),
    inputTokens: random.int(20, 200),
    maxTokens: MAX_TOKENS[kind],
  };
}

/** Returns the calls per second of a kind that a customer makes. */
function rateOf(customer: CustomerPlan, kind: CallKind): number {
  const rates: Record<CallKind, number> = {
    layout: customer.layoutsPerS,
    check: customer.checksPerS,
    lookup: customer.lookupsPerS,
    booking: customer.bookingsPerS,
  };
  return rates[kind];
}
