import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ENGINE_POOL} from '@applebend/routing';
import {sampleState} from '../../testing/sample_state.js';
import {sampleTarget} from '../../testing/sample_target.js';
import {decideRequest} from './placement.js';

import type {RequestContext} from './request_context.js';
import type {ResumedKind} from './version_pin.js';

const CUSTOMER = 'one';
/** What the engine reads first: longer than a first event may wait. */
const QUEUED_TOKENS = 30_000;

const context = {
  service: 'app',
  customer: CUSTOMER,
  deadlineAtMs: 10_000,
  prompt: {inputTokens: 1000, outputTokens: 100, prefixBlocks: []},
  route: {latencyTargetMs: 800, eventGapTargetMs: 400},
  config: {limits: {tokensPerS: 1000}},
} as unknown as RequestContext;

/** @param given - weighted tokens that the customer was given lately */
function isAdmitted(resumed: ResumedKind | undefined, given: number): boolean {
  const state = sampleState();
  const read = {targets: [sampleTarget()], storeEra: 0, restoredBefore: 0};
  state.onTargets(read, 0);
  const record = state.targets.get('t-1');
  record?.setMemoryTokens(1_000_000);
  record?.ownLoad.start(QUEUED_TOKENS, QUEUED_TOKENS);
  const usage = {requested: 2 * given, admitted: given};
  state.sharesOf(ENGINE_POOL).add(CUSTOMER, usage, 0);
  const decision = decideRequest({
    context,
    state,
    versionPin: {version: 'v1', resumed},
    attempts: {tried: new Set(), mayTryEjected: true},
    nowMs: 0,
    random: () => 0,
  });
  return decision?.admission.kind === 'admit';
}

test('a stream of an only version that nobody noted may wait as a known one', () => {
  assert.ok(isAdmitted('exact', 0));
  assert.ok(isAdmitted('inferred', 0));
  assert.ok(!isAdmitted(undefined, 0));
});

test('naming a stream that nobody knows does not pass over the share', () => {
  assert.ok(isAdmitted('exact', 100_000));
  assert.ok(!isAdmitted('inferred', 100_000));
});
