import assert from 'node:assert/strict';
import {test} from 'node:test';
import {callerGapLimitMs} from '../retry/caller_patience.js';
import {stallTimeoutMs} from '../retry/stall_timeout.js';
import {placeAndAdmit} from './request_decision.js';

import type {Candidate} from '../placement/placer.js';
import type {RequestNeeds} from './request_decision.js';

const LATENCY_TARGET_MS = 800;
const EVENT_GAP_TARGET_MS = 400;
const PREFILL_MS = 210;

/** An engine with room, whose prefill queue takes some time. */
const engineWith = (waitMs: number): Candidate => ({
  id: 't-1',
  load: {running: 20, prefillTokens: 0, kvTokens: 100_000},
  slots: 48,
  memoryTokens: 570_000,
  uncachedTokens: 12_000,
  waitMs,
  prefillMs: PREFILL_MS,
  sameFailureDomain: true,
  failureRate: 0,
  rendezvousRank: 0,
});

const resumedWith = (leftMs: number): RequestNeeds => ({
  kvTokens: 12_000,
  latencyTargetMs: LATENCY_TARGET_MS,
  leftMs,
  shareStatus: {
    admitted: 0,
    recentAdmitted: 0,
    levels: {owed: Infinity, even: Infinity},
  },
  resume: {
    gapLimitMs: callerGapLimitMs(LATENCY_TARGET_MS, EVENT_GAP_TARGET_MS),
    isKnown: true,
  },
  windowMs: 4000,
  spread: 0.5,
});

const isAdmitted = (waitMs: number, leftMs: number): boolean => {
  const needs = resumedWith(leftMs);
  return placeAndAdmit([engineWith(waitMs)], needs)?.admission.kind === 'admit';
};

test('a resumed stream with time left is not refused for a wait beyond a stall', () => {
  const stallMs = stallTimeoutMs(EVENT_GAP_TARGET_MS);
  for (const waitMs of [stallMs, 1500, 2000]) {
    assert.ok(isAdmitted(waitMs, 10_000), `${waitMs} ms`);
  }
});

test('a resumed stream that would begin after its caller has left is refused', () => {
  const gapLimitMs = callerGapLimitMs(LATENCY_TARGET_MS, EVENT_GAP_TARGET_MS);
  assert.ok(!isAdmitted(0.9 * gapLimitMs - PREFILL_MS, 10_000));
  for (const leftMs of [300, 1000, 2000]) {
    assert.ok(!isAdmitted(leftMs - PREFILL_MS, leftMs), `${leftMs} ms left`);
  }
});

test('an engine without a queue does not refuse a resumed stream that can go on', () => {
  for (const leftMs of [PREFILL_MS + 1, 300]) {
    assert.ok(isAdmitted(0, leftMs), `${leftMs} ms left`);
  }
  assert.ok(!isAdmitted(0, PREFILL_MS));
});

test('a resumed stream is not refused for a wait shorter than that of a refusal', () => {
  assert.ok(isAdmitted(150, 500));
});
