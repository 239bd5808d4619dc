import {customerEntry} from '../sample_config.js';

import type {ServicePlan} from '../fleet.js';

/** Share and call rates of a customer. */
export interface CustomerPlan {
  readonly name: string;
  readonly share: number;
  readonly size: 'large' | 'small' | 'flood';
  /** Long model calls per second. */
  readonly layoutsPerS: number;
  /** Short model calls per second. */
  readonly checksPerS: number;
  /** Idempotent calls of the plain service per second. */
  readonly lookupsPerS: number;
  /** Non-idempotent calls of the plain service per second. */
  readonly bookingsPerS: number;
}

// A site of the present size: its services, targets and routers.
export const MODEL_SERVICE = 'nest-llm';
export const PLAIN_SERVICE = 'floor-app';
export const ENGINES = 13;
export const PLAIN_TARGETS = 3;
export const ROUTERS = 9;
export const SLOTS_PER_ENGINE = 8;
// Weighted tokens per output token, per input token and per plain call.
export const OUTPUT_TOKEN_COST = 2;
export const INPUT_TOKEN_COST = 1;
export const CALL_COST = 50;

const SMALL_CUSTOMERS = 12;

const LARGE: Omit<CustomerPlan, 'name'> = {
  share: 4,
  size: 'large',
  layoutsPerS: 6,
  checksPerS: 1,
  lookupsPerS: 2,
  bookingsPerS: 0.5,
};

const SMALL: Omit<CustomerPlan, 'name'> = {
  share: 1,
  size: 'small',
  layoutsPerS: 0.25,
  checksPerS: 0.5,
  lookupsPerS: 0.5,
  bookingsPerS: 0.2,
};

const FLOOD: Omit<CustomerPlan, 'name'> = {
  share: 1,
  size: 'flood',
  layoutsPerS: 20,
  checksPerS: 5,
  lookupsPerS: 5,
  bookingsPerS: 0.5,
};

/** Three large customers, twelve small ones and one that sends too much. */
export const CUSTOMERS: readonly CustomerPlan[] = [
  {name: 'large-1', ...LARGE},
  {name: 'large-2', ...LARGE},
  {name: 'large-3', ...LARGE},
  ...Array.from({length: SMALL_CUSTOMERS}, (_, i) => ({
    name: `small-${i + 1}`,
    ...SMALL,
  })),
  {name: 'flood-1', ...FLOOD},
];

const CLASSES = [
  {
    name: 'booking',
    match: {service: PLAIN_SERVICE, method: 'POST'},
    idempotent: false,
    priority: 1,
    deadlineMs: 30_000,
  },
  {name: 'lookup', match: {service: PLAIN_SERVICE}, priority: 1},
  {
    name: 'check',
    match: {requestClass: 'check'},
    priority: 1,
    short: true,
    expectedOutputTokens: 16,
    maxOutputTokens: 64,
  },
  {
    name: 'layout',
    match: {},
    priority: 5,
    expectedOutputTokens: 100,
    maxOutputTokens: 512,
    deadlineMs: 300_000,
  },
];

/**
 * Returns the fleet configuration of the site. `shortCallSlots` are the slots
 * of an engine that only short calls may use, `maxSlots` is the upper bound of
 * its adapted limit.
 */
export function siteConfig(
  shortCallSlots: number,
  maxSlots = SLOTS_PER_ENGINE
) {
  return {
    services: {
      [MODEL_SERVICE]: {
        kind: 'model',
        slots: SLOTS_PER_ENGINE,
        maxSlots,
        shortCallSlots,
        resume: true,
      },
      [PLAIN_SERVICE]: {kind: 'plain', slots: 16},
    },
    templates: {
      standard: {
        inputTokenCost: INPUT_TOKEN_COST,
        outputTokenCost: OUTPUT_TOKEN_COST,
        callCost: CALL_COST,
        maxQueued: 200,
        classes: CLASSES,
      },
    },
    customers: Object.fromEntries(
      CUSTOMERS.map(({name, share}) => [
        name,
        customerEntry(name, 'standard', {share}),
      ])
    ),
  };
}

/** Step times of an engine, in milliseconds. */
export interface EngineSteps {
  readonly stepMs: number;
  readonly stepPerRequestMs: number;
}

const SITE_STEPS: EngineSteps = {stepMs: 18, stepPerRequestMs: 2};

/** Faster engines, for tests that wait for complete responses. */
export const TEST_STEPS: EngineSteps = {stepMs: 3, stepPerRequestMs: 0.4};

/** Returns the targets of the site; tests use fewer of them. */
export function siteServices(
  engines: number,
  plainTargets: number,
  speed: EngineSteps = SITE_STEPS
): readonly ServicePlan[] {
  return [
    {
      name: MODEL_SERVICE,
      kind: 'engine',
      targets: engines,
      args: [
        '--step-ms',
        String(speed.stepMs),
        '--step-per-request-ms',
        String(speed.stepPerRequestMs),
        '--prefill-per-token-ms',
        '0.3',
        '--max-batch',
        '24',
        '--resume-grace-ms',
        '2000',
      ],
    },
    {
      name: PLAIN_SERVICE,
      kind: 'plain',
      targets: plainTargets,
      args: ['--work-ms', '15'],
    },
  ];
}
