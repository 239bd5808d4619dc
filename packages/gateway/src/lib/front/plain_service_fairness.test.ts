/**
 * Fairness among customers of a plain service, one without model engines,
 * simulated in virtual time. Guards against a customer that sends most of the
 * requests taking most of a service that cannot serve them all.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ENGINE_POOL, fairnessWindows, UsageRecorder} from '@applebend/routing';
import {Random} from '@applebend/utils';
import {sampleState} from '../../testing/sample_state.js';
import {sampleTarget} from '../../testing/sample_target.js';
import {weightedCostOf, decideRequest} from './placement.js';

import type {UsageTimeline} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

const SERVICE = 'app';
const TARGETS = 3;
/** Slots of each target. */
const SLOTS = 6;
/** Time that a slot needs for a request. */
const REQUEST_MS = 85;
const LENGTH_S = 20;
/** What all targets together serve in a second. */
const CAPACITY_PER_S = (TARGETS * SLOTS * 1000) / REQUEST_MS;
/** Requests a second of each customer; together more than the capacity. */
const DEMAND_PER_S = [400, 60, 40, 30, 20, 10, 5, 5];
/** Length of the windows in which customers are compared. */
const WINDOW_S = 6;

const target = (index: number) =>
  sampleTarget({
    id: `app-${index}`,
    service: SERVICE,
    port: 9000 + index,
    slots: SLOTS,
  });

function createState(): FleetState {
  const state = sampleState();
  const targets = Array.from({length: TARGETS}, (_, i) => target(i));
  state.onTargets({targets, storeEra: 0, restoredBefore: 0}, 0);
  return state;
}

const contextOf = (customer: string, nowMs: number) =>
  ({
    config: {limits: {tokensPerS: 300_000}},
    route: {latencyTargetMs: 386},
    service: SERVICE,
    customer,
    prompt: undefined,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + 1500,
  }) as unknown as RequestContext;

/** The usage of each customer by second, in requests. */
function simulate(seed: number): UsageTimeline {
  const random = Random.create(seed);
  const state = createState();
  const recorder = UsageRecorder.create(LENGTH_S);
  /** Times at which the slots of each target become free. */
  const freeAtMs = new Map<string, number[]>();
  const completions: {atMs: number; onEnd: () => void}[] = [];

  const run = (id: string, nowMs: number) => {
    const slots = freeAtMs.get(id) ?? new Array<number>(SLOTS).fill(0);
    slots.sort((a, b) => a - b);
    slots[0] = Math.max(slots[0], nowMs) + REQUEST_MS;
    freeAtMs.set(id, slots);
    const running = state.targets.get(id)?.ownLoad.start(0, 0);
    completions.push({atMs: slots[0], onEnd: () => running?.onEnd()});
    completions.sort((a, b) => a.atMs - b.atMs);
  };
  const arrive = (customer: string, nowMs: number) => {
    const context = contextOf(customer, nowMs);
    const decision = decideRequest({
      context,
      state,
      versionPin: {version: undefined, resumed: undefined},
      attempts: {tried: new Set(), mayTryEjected: true},
      nowMs,
      random: () => random.uniform(),
    });
    const isAdmitted = decision?.admission.kind === 'admit';
    const cost = weightedCostOf(context);
    const usage = {requested: cost, admitted: isAdmitted ? cost : 0};
    state.sharesOf(SERVICE).add(customer, usage, nowMs);
    recorder.add(customer, Math.floor(nowMs / 1000), {
      requested: 1,
      admitted: isAdmitted ? 1 : 0,
      wasRefused: !isAdmitted,
    });
    if (isAdmitted) run(decision.placement.candidate.id, nowMs);
  };

  for (let nowMs = 0; nowMs < LENGTH_S * 1000; nowMs++) {
    while (completions.length > 0 && completions[0].atMs <= nowMs)
      completions.shift()?.onEnd();
    for (const [index, perS] of DEMAND_PER_S.entries()) {
      if (random.chance(perS / 1000)) arrive(`customer-${index}`, nowMs);
    }
  }
  return recorder.timeline;
}

test('a waiting customer of a plain service gets at least half of what a heavy one gets', () => {
  for (const seed of [1, 2, 3]) {
    const windows = fairnessWindows(simulate(seed), WINDOW_S);
    assert.ok(windows.length > 0, 'some window has refusals in each second');
    const lowest = windows.reduce((a, b) => (a.ratio <= b.ratio ? a : b));
    assert.ok(lowest.ratio >= 1, `seed ${seed}: ${JSON.stringify(lowest)}`);
  }
});

test('what a heavy customer is refused leaves no capacity of a plain service idle', () => {
  for (const seed of [1, 2, 3]) {
    const usage = [...simulate(seed).values()].flat();
    const admitted = usage.reduce((sum, second) => sum + second.admitted, 0);
    assert.ok(admitted >= 0.95 * CAPACITY_PER_S * LENGTH_S, `seed ${seed}`);
  }
});

test('usage of a plain service does not count against a share of the engines', () => {
  const state = createState();
  const usage = {requested: 1000, admitted: 1000};
  state.sharesOf(SERVICE).add('heavy', usage, 0);
  const engines = state.sharesOf(ENGINE_POOL);
  assert.equal(engines.statusOf('heavy', 300_000, 0).admitted, 0);
});
