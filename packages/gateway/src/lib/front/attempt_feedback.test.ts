import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FirstEventModel} from '@applebend/routing';
import {SAMPLE_HEAD} from '../../testing/exchange_rig.js';
import {sampleTarget} from '../../testing/sample_target.js';
import {attemptFailure} from '../errors.js';
import {EXECUTION} from '../execution.js';
import {PeerLoadTotals} from '../state/load_totals.js';
import {TargetRecord} from '../state/target_record.js';
import {AttemptFeedback} from './attempt_feedback.js';

import type {Candidate} from '@applebend/routing';
import type {TargetResponse} from '../upstream/target_call.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** Failures in a row after which a target is ejected. */
const FAILURES_TO_EJECT = 3;
const RESET = attemptFailure('reset', EXECUTION.unknown, 'reset');
const PAUSED = attemptFailure('target_paused', EXECUTION.notRun, 'full');
const UNCONFIRMED = attemptFailure(
  'unconfirmed_refusal',
  EXECUTION.unknown,
  'replaced'
);

/** A target, and attempts at it at a time that the test sets. */
function createTarget() {
  const record = TargetRecord.create(
    sampleTarget(),
    FirstEventModel.create(),
    PeerLoadTotals.create()
  );
  const time = {nowMs: 0};
  const deps = {
    clock: {monotonicMs: () => time.nowMs},
    onPlaced: () => undefined,
    onInvalidResponse: () => undefined,
  } as unknown as ExchangeDeps;
  const candidate = {id: 't-1', uncachedTokens: 0} as unknown as Candidate;
  const context = {route: {streaming: false}} as unknown as RequestContext;
  const send = () => AttemptFeedback.create(record, candidate, context, deps);
  return {record, time, send};
}

test('a probe that says nothing of the target makes room for the next one', () => {
  const {record, time, send} = createTarget();
  for (let i = 0; i < 3; i++) {
    const attempt = send();
    attempt.onFailure(RESET);
    attempt.end();
  }
  assert.equal(record.health.isUsable(time.nowMs), false);
  time.nowMs = 1000;
  assert.equal(record.health.isUsable(time.nowMs), true);
  const probe = send();
  assert.equal(record.health.isUsable(time.nowMs), false);
  // Its caller left, so it ends without an outcome.
  probe.end();
  assert.equal(record.health.isUsable(time.nowMs), true);
});

test('a pause is no failure of the target', () => {
  const {record, send} = createTarget();
  for (let i = 0; i < 10; i++) {
    const attempt = send();
    attempt.onFailure(PAUSED);
    attempt.end();
  }
  assert.equal(record.health.failureRate, 0);
  assert.equal(record.health.isUsable(0), true);
  assert.equal(record.ownLoad.load.running, 0);
});

test('a silent target is ejected although its attempts go on, until it serves one', () => {
  const {record, send} = createTarget();
  const attempts = [send(), send(), send()];
  for (const attempt of attempts) {
    attempt.onSilence();
    attempt.onSilence();
  }
  assert.equal(record.health.isUsable(0), false);
  assert.equal(record.ownLoad.load.running, 3);
  attempts[0].onServed();
  attempts[0].end();
  assert.equal(record.health.isUsable(0), true);
});

test('silence counts once for each attempt', () => {
  const {record, send} = createTarget();
  const attempt = send();
  for (let i = 0; i < 10; i++) attempt.onSilence();
  assert.equal(record.health.isUsable(0), true);
});

/** The failures in a row of a target whose answers are replaced. */
function failuresAfter(status: number, pauseMs?: number): number {
  const {record, send} = createTarget();
  const signals = {...SAMPLE_HEAD.signals, pauseMs};
  const head = {...SAMPLE_HEAD, signals};
  const attempt = send();
  attempt.onHead({status, head} as unknown as TargetResponse);
  attempt.onFailure(UNCONFIRMED);
  attempt.end();
  let failures = 0;
  for (; record.health.isUsable(0); failures++) record.health.onFailure(0);
  return FAILURES_TO_EJECT - failures;
}

test('an answer that is replaced counts once, and as no failure with a pause or below 500', () => {
  assert.equal(failuresAfter(503), 1);
  assert.equal(failuresAfter(503, 1000), 0);
  assert.equal(failuresAfter(429), 0);
});
