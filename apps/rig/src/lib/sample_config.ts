import {sha256Hex} from '@applebend/utils';

import type {ServicePlan} from './fleet.js';

/** Returns the API key of a customer of the rig. */
export function keyOf(customer: string): string {
  return `key-of-${customer}`;
}

/** Returns the configuration of a customer, with its API key. */
export function customerEntry(
  name: string,
  template: string,
  extra: Readonly<Record<string, unknown>> = {}
) {
  return {template, apiKeyHashes: [sha256Hex(keyOf(name))], ...extra};
}

/** Request classes of the sample configuration. */
export const SAMPLE_CLASSES = [
  {
    name: 'booking',
    match: {service: 'floor-app', method: 'POST'},
    idempotent: false,
    priority: 1,
    deadlineMs: 20_000,
  },
  {
    name: 'check',
    match: {requestClass: 'check'},
    priority: 1,
    short: true,
    expectedOutputTokens: 16,
    deadlineMs: 60_000,
  },
  {
    name: 'layout',
    match: {},
    priority: 5,
    expectedOutputTokens: 120,
    deadlineMs: 120_000,
    maxWaitMs: 30_000,
  },
];

/** A configuration with a model service, a plain one and two customers. */
export const SAMPLE_CONFIG = {
  services: {
    'nest-llm': {kind: 'model', slots: 4, shortCallSlots: 1, resume: true},
    'floor-app': {kind: 'plain', slots: 8},
  },
  templates: {
    standard: {share: 1, classes: SAMPLE_CLASSES},
  },
  customers: {
    kpone: customerEntry('kpone', 'standard'),
    tema: customerEntry('tema', 'standard', {share: 2}),
  },
};

/** Targets for the sample configuration. */
export const SAMPLE_SERVICES: readonly ServicePlan[] = [
  {
    name: 'nest-llm',
    kind: 'engine',
    targets: 2,
    args: ['--step-ms', '5', '--resume-grace-ms', '2000'],
  },
  {name: 'floor-app', kind: 'plain', targets: 1, args: ['--work-ms', '20']},
];
