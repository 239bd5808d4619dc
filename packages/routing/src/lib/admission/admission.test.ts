import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decideAdmission} from './admission.js';

import type {AdmissionInput} from './admission.js';

const IDLE: AdmissionInput = {
  waitMs: 0,
  latencyTargetMs: 800,
  leftMs: 15_000,
  hasRoom: true,
  occupancy: 0.2,
  given: 0,
  recentGiven: 0,
  level: Infinity,
  evenLevel: 1000,
  resume: undefined,
  windowMs: 4000,
  spread: 0.5,
};

test('an idle fleet admits every request', () => {
  for (const given of [0, 500, 100_000]) {
    const usage = {given, recentGiven: given};
    const decision = decideAdmission({...IDLE, level: 1000, ...usage});
    assert.equal(decision.kind, 'admit');
  }
});

test('a fleet that admitted nothing for a whole window admits again', () => {
  // The even level is 0 then, which must not make the usage ratio NaN.
  const refusedAll = {level: 1000, evenLevel: 0, given: 0};
  assert.equal(decideAdmission({...IDLE, ...refusedAll}).kind, 'admit');
});

test('a customer further over its share is refused at a shorter wait', () => {
  const limits = [0.5, 1.01, 1.4, 2.5].map(over => {
    let waitMs = 0;
    const given = over * 1000;
    const input = {...IDLE, level: 1000, given, recentGiven: given};
    while (decideAdmission({...input, waitMs}).kind === 'admit') waitMs += 1;
    return waitMs;
  });
  const sorted = [...limits].sort((a, b) => b - a);
  assert.deepEqual(limits, sorted);
  assert.ok(limits[0] > 2 * limits[1] && limits[1] > 2 * limits[3]);
});

test('of two customers over their share, the one with less usage is admitted', () => {
  const isRefused = (given: number): boolean => {
    const input = {...IDLE, level: 100, given, recentGiven: given};
    const decision = decideAdmission({...input, waitMs: 60, occupancy: 0.55});
    return decision.kind === 'refuse';
  };
  assert.equal(
    isRefused(600),
    false,
    'six times its share, below the even level'
  );
  assert.equal(
    isRefused(1500),
    true,
    '15 times its share, above the even level'
  );
});

test('a Retry-After is at most a third of the time left, or 50 ms', () => {
  const input = fc.record({
    waitMs: fc.double({min: 0, max: 5000, noNaN: true}),
    leftMs: fc.double({min: 200, max: 15_000, noNaN: true}),
    given: fc.double({min: 0, max: 20_000, noNaN: true}),
    recentGiven: fc.double({min: 0, max: 20_000, noNaN: true}),
    spread: fc.double({min: 0, max: 0.999, noNaN: true}),
    hasRoom: fc.boolean(),
  });
  fc.assert(
    fc.property(input, change => {
      const decision = decideAdmission({...IDLE, level: 1000, ...change});
      if (decision.kind === 'admit') return;
      assert.ok(decision.retryAfterS > 0);
      const longestS = Math.max(0.05, change.leftMs / 3000);
      assert.ok(decision.retryAfterS <= longestS + 1e-9);
    })
  );
});

test('a stream that goes on is not refused as new demand of its customer', () => {
  const used = {level: 1000, given: 5000, recentGiven: 5000};
  const input = {...IDLE, ...used, occupancy: 0.9, waitMs: 700};
  assert.equal(decideAdmission(input).kind, 'refuse');
  const resume = {maxWaitMs: 1200, isKnown: true};
  assert.equal(decideAdmission({...input, resume}).kind, 'admit');
});

test('a stream that nobody knows does not pass over the share of its customer', () => {
  const resume = {maxWaitMs: 1200, isKnown: false};
  const waiting = {...IDLE, level: 1000, occupancy: 0.9, waitMs: 700, resume};
  assert.equal(decideAdmission({...waiting, given: 900}).kind, 'admit');
  const used = {given: 5000, recentGiven: 5000};
  const decision = decideAdmission({...waiting, ...used});
  assert.equal(decision.kind === 'refuse' && decision.reason, 'over_share');
});

test('a stream that nobody knows does not pass over the even level of recent usage', () => {
  const resume = {maxWaitMs: 1200, isKnown: false};
  const waiting = {...IDLE, occupancy: 0.9, waitMs: 700, resume};
  assert.equal(decideAdmission({...waiting, recentGiven: 900}).kind, 'admit');
  assert.equal(decideAdmission({...waiting, recentGiven: 2000}).kind, 'refuse');
  const known = {...resume, isKnown: true};
  const goesOn = {...waiting, recentGiven: 2000, resume: known};
  assert.equal(decideAdmission(goesOn).kind, 'admit');
});

test('a stream that goes on is refused without room, or if its caller would leave', () => {
  const goesOn = {...IDLE, resume: {maxWaitMs: 1200, isKnown: true}};
  for (const change of [{hasRoom: false}, {waitMs: 1201}]) {
    const decision = decideAdmission({...goesOn, ...change});
    assert.equal(decision.kind === 'refuse' && decision.reason, 'no_capacity');
  }
});
