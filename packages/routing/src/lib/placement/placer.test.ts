import assert from 'node:assert/strict';
import {test} from 'node:test';
import {place} from './placer.js';

import type {Candidate} from './placer.js';

function candidate(id: string, change: Partial<Candidate> = {}): Candidate {
  return {
    id,
    load: {running: 4, prefillTokens: 0, kvTokens: 20_000},
    slots: 48,
    memoryTokens: 600_000,
    uncachedTokens: 6000,
    waitMs: 0,
    prefillMs: 110,
    sameFailureDomain: true,
    failureRate: 0,
    rendezvousRank: 0.5,
    ...change,
  };
}

const idOf = (candidates: Candidate[], kvTokens = 12_000) =>
  place(candidates, kvTokens)?.candidate.id;

test('a cached prefix outweighs a short wait but not a long one', () => {
  const cold = candidate('cold');
  const cached = candidate('cached', {prefillMs: 20, waitMs: 200});
  assert.equal(idOf([cold, cached]), 'cached');
  const busy = candidate('cached', {prefillMs: 20, waitMs: 900});
  assert.equal(idOf([cold, busy]), 'cold');
});

test('candidates without cached prefixes are chosen by rendezvous rank', () => {
  const targets = [
    candidate('a', {rendezvousRank: 0.9}),
    candidate('b', {rendezvousRank: 0.1}),
    candidate('c', {rendezvousRank: 0.4}),
  ];
  assert.equal(idOf(targets), 'b');
  assert.equal(idOf(targets.toReversed()), 'b');
});

test('a full target is chosen only if all are full, and has no room', () => {
  const full = candidate('full', {
    load: {running: 48, prefillTokens: 0, kvTokens: 0},
  });
  assert.equal(idOf([full, candidate('free', {waitMs: 700})]), 'free');
  const placement = place([full], 1000);
  assert.equal(placement?.hasRoom, false);
  assert.equal(place([], 1000), undefined);
});

test('memory limits an engine, but an empty one has room for any request', () => {
  const heavy = candidate('heavy', {
    load: {running: 10, prefillTokens: 0, kvTokens: 475_000},
  });
  assert.equal(place([heavy], 12_000)?.hasRoom, false);
  const empty = candidate('empty', {
    load: {running: 0, prefillTokens: 0, kvTokens: 0},
  });
  assert.equal(place([empty], 590_000)?.hasRoom, true);
});

test('a target that fails many requests is avoided', () => {
  const failing = candidate('failing', {failureRate: 0.4, prefillMs: 0});
  assert.equal(idOf([failing, candidate('healthy')]), 'healthy');
});

test('a target with too long a wait is chosen only if all have one', () => {
  const cached = candidate('cached', {prefillMs: 20, waitMs: 400});
  const cold = candidate('cold', {waitMs: 100});
  assert.equal(place([cached, cold], 1000)?.candidate.id, 'cached');
  assert.equal(place([cached, cold], 1000, () => 360)?.candidate.id, 'cold');
  assert.equal(place([cached], 1000, () => 360)?.candidate.id, 'cached');
});

test('a plain service is called in the own failure domain unless it is busier', () => {
  const plain = (id: string, running: number, sameFailureDomain: boolean) =>
    candidate(id, {
      memoryTokens: 0,
      slots: 12,
      load: {running, prefillTokens: 0, kvTokens: 0},
      sameFailureDomain,
      prefillMs: 0,
      rendezvousRank: 0,
    });
  assert.equal(idOf([plain('far', 0, false), plain('near', 1, true)]), 'near');
  assert.equal(idOf([plain('far', 0, false), plain('near', 2, true)]), 'far');
});

test('a target without slots is not preferred', () => {
  const none = candidate('none', {
    slots: 0,
    load: {running: 0, prefillTokens: 0, kvTokens: 0},
  });
  assert.equal(idOf([none, candidate('some')]), 'some');
  assert.equal(idOf([candidate('some'), none]), 'some');
});
