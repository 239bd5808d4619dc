import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TokenBucket} from './token_bucket.js';

test('a bucket begins empty, also if its rate is set late', () => {
  const bucket = TokenBucket.create();
  assert.equal(bucket.holdsAtMs(1, 5000), Infinity);
  bucket.setRate(2, 1, 5000);
  assert.equal(bucket.holdsAtMs(1, 5000), 5500);
  assert.equal(bucket.holdsAtMs(1, 5500), 5500);
});

test('tokens beyond the maximum are lost, and debts are bounded', () => {
  const bucket = TokenBucket.create();
  bucket.setRate(1, 2, 0);
  assert.equal(bucket.holdsAtMs(2, 60_000), 60_000);
  assert.ok(bucket.holdsAtMs(3, 60_000) > 60_000);
  bucket.take(10, -3, 60_000);
  assert.equal(bucket.holdsAtMs(1, 60_000), 64_000);
  bucket.empty(60_000);
  assert.equal(bucket.holdsAtMs(1, 60_000), 61_000);
});

test('a new rate holds from then on, and a lower maximum at once', () => {
  const bucket = TokenBucket.create();
  bucket.setRate(4, 4, 0);
  bucket.setRate(1, 1, 500);
  assert.equal(bucket.holdsAtMs(1, 500), 500);
  assert.equal(bucket.holdsAtMs(2, 600), 600 + 1000);
});

test('a bucket without a rate earns nothing and keeps what it holds', () => {
  const bucket = TokenBucket.create();
  bucket.setRate(1, 1, 0);
  bucket.setRate(0, 1, 1000);
  assert.equal(bucket.holdsAtMs(1, 9000), 9000);
  bucket.take(1, 0, 9000);
  assert.equal(bucket.holdsAtMs(1, 9000), Infinity);
});
