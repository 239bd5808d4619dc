import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import {BodyMemory} from './body_memory.js';

import type {MemoryClaim} from './memory_claim.js';

const LIMIT = 1000;
const SMALL = 5;

/** Claims bodies of one size until one is refused. */
function flood(memory: BodyMemory, customer: string, bytes: number) {
  const claims: MemoryClaim[] = [];
  for (;;) {
    const claim = memory.claim(customer);
    if (!claim.growTo(bytes)) return claims;
    claims.push(claim);
  }
}

test('a flood of one customer leaves room for the small bodies of others', () => {
  const memory = BodyMemory.create(LIMIT);
  assert.equal(flood(memory, 'flood', 50).length, 10);
  for (const customer of ['a', 'b', 'c', 'd']) {
    for (let i = 0; i < 10; i++) {
      assert.ok(memory.claim(customer).growTo(SMALL), `${customer} ${i}`);
    }
  }
});

test('customers that all flood come to hold the same, whoever was first', () => {
  const memory = BodyMemory.create(LIMIT);
  const customers = ['a', 'b', 'c'];
  const claims = customers.map(customer => flood(memory, customer, SMALL));
  for (let round = 0; round < 300; round++) {
    for (const [i, customer] of customers.entries()) {
      claims[i].shift()?.release();
      claims[i].push(...flood(memory, customer, SMALL));
    }
  }
  for (const {length} of claims) {
    assert.ok(Math.abs(length * SMALL - LIMIT / 4) <= 2 * SMALL, `${length}`);
  }
});

test('the first to fill the memory leaves room for any customer that holds nothing', () => {
  const memory = BodyMemory.create(LIMIT);
  flood(memory, 'flood', 1);
  for (let i = 0; i < 50; i++) {
    assert.ok(memory.claim(`small-${i}`).growTo(SMALL), `customer ${i}`);
  }
});

test('the bytes of all bodies never pass the limit and return to 0', () => {
  const random = Random.create(7);
  const memory = BodyMemory.create(LIMIT);
  const claims: {claim: MemoryClaim; bytes: number}[] = [];
  for (let step = 0; step < 5000; step++) {
    const draw = random.int(0, 3);
    if (draw === 0 && claims.length > 0) {
      const [{claim}] = claims.splice(random.int(0, claims.length - 1), 1);
      claim.release();
      claim.release();
    } else if (draw === 1 && claims.length > 0) {
      const entry = claims[random.int(0, claims.length - 1)];
      const bytes = entry.bytes + random.int(1, 100);
      if (entry.claim.growTo(bytes)) entry.bytes = bytes;
    } else {
      const claim = memory.claim(`customer-${random.int(0, 5)}`);
      claims.push({claim, bytes: 0});
    }
    const held = claims.reduce((sum, {bytes}) => sum + bytes, 0);
    assert.equal(memory.heldBytes, held);
    assert.ok(held <= LIMIT);
  }
  for (const {claim} of claims) claim.release();
  assert.equal(memory.heldBytes, 0);
  assert.ok(memory.claim('any').growTo(LIMIT / 2));
});

test('a body that does not fit leaves what is held as it was', () => {
  const memory = BodyMemory.create(LIMIT);
  const claim = memory.claim('one');
  assert.ok(claim.growTo(400));
  assert.ok(!claim.growTo(501));
  assert.equal(memory.heldBytes, 400);
  claim.release();
  assert.ok(!claim.growTo(1));
  assert.equal(memory.heldBytes, 0);
});

test('an announced length that is not sent takes no room from others', () => {
  const memory = BodyMemory.create(LIMIT);
  for (let i = 0; i < 100; i++) assert.ok(memory.claim('slow').fits(500));
  assert.ok(memory.claim('other').growTo(500));
  assert.ok(!memory.claim('slow').fits(501));
});

test('refused callers come back at different times, before their deadline', () => {
  const memory = BodyMemory.create(LIMIT);
  const early = memory.retryAfterS({leftMs: 10_000, spread: 0});
  const late = memory.retryAfterS({leftMs: 10_000, spread: 0.99});
  assert.ok(early > 0 && late > early);
  assert.ok(memory.retryAfterS({leftMs: 600, spread: 0.5}) < 0.6);
});
