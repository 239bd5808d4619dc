import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import fc from 'fast-check';
import {TargetRateLimit} from './target_rate_limit.js';

/** Leaves nothing in the bucket. */
const none = () => 0;

/** What the users' rule allows in some 4 s. */
const WINDOW_MS = 4000;
const allowedAt = (ratePerS: number) => 1.5 * ratePerS * 4 + 5;

function mostInWindow(sentMs: readonly number[]): number {
  const counts = sentMs.map(
    fromMs =>
      sentMs.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

test('without a limit everything is sent', () => {
  const limit = TargetRateLimit.create(none);
  limit.onPeersSent(1000, 0);
  assert.equal(limit.isUsable(0), true);
  assert.equal(limit.availableAtMs(5), 5);
});

test('the named rate is sent, and its use by peers counts', () => {
  const limit = TargetRateLimit.create(none);
  limit.onNamed(10, 0);
  let own = 0;
  for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
    if (nowMs % 200 === 0) limit.onPeersSent(1, nowMs);
    if (!limit.isUsable(nowMs)) continue;
    limit.onSent(nowMs);
    own += 1;
  }
  assert.ok(own > 45 && own <= 55, `${own} sent beside 50 of the peers`);
});

test('the limit says when the next request may be sent', () => {
  const limit = TargetRateLimit.create(none);
  limit.onNamed(2, 0);
  assert.equal(limit.availableAtMs(0), 500);
  assert.equal(limit.isUsable(499), false);
  assert.equal(limit.isUsable(500), true);
  limit.onPeersSent(3, 500);
  assert.equal(limit.availableAtMs(500), 2000);
});

test('a response that names no rate lifts the limit, but not one just after it', () => {
  const limit = TargetRateLimit.create(none);
  assert.equal(limit.onNamed(2, 0), true);
  assert.equal(limit.onNotNamed(100), false);
  assert.equal(limit.isInForce(100), true);
  assert.equal(limit.onNotNamed(1000), true);
  assert.equal(limit.isInForce(1000), false);
  assert.equal(limit.onNotNamed(1100), false);
});

test('peers hear of a new rate at once, and of the same one now and then', () => {
  const limit = TargetRateLimit.create(none);
  assert.equal(limit.onNamed(2, 0), true);
  assert.equal(limit.onNamed(2, 100), false);
  assert.equal(limit.onNamed(3, 110), true);
  assert.equal(limit.onNamed(3, 700), true);
});

test('a rate of nothing lets a request through now and then, and expires', () => {
  const limit = TargetRateLimit.create(none);
  limit.onNamed(0, 0);
  assert.equal(limit.isUsable(1000), false);
  assert.equal(limit.isUsable(5000), true);
  limit.onSent(5000);
  assert.equal(limit.isUsable(5001), false);
  assert.equal(limit.isUsable(30_000), true);
  assert.equal(limit.isInForce(30_000), false);
});

test('instances that hear of each other late keep within the rule', () => {
  const instances = fc.integer({min: 1, max: 12});
  const delayMs = fc.integer({min: 1, max: 60});
  const ratePerS = fc.double({min: 1, max: 40, noNaN: true});
  const demandPerS = fc.integer({min: 5, max: 400});
  const random = Random.create(20261204);
  fc.assert(
    fc.property(
      instances,
      delayMs,
      ratePerS,
      demandPerS,
      (count, delay, rate, demand) => {
        const limits = Array.from({length: count}, () =>
          TargetRateLimit.create(() => random.uniform())
        );
        for (const limit of limits) limit.onNamed(rate, 0);
        const sentMs: number[] = [];
        const onTheWay: {atMs: number; from: number}[] = [];
        let arrived = 0;
        for (let nowMs = 0; nowMs < 12_000; nowMs++) {
          while (onTheWay.length > 0 && onTheWay[0].atMs <= nowMs) {
            const {from} = onTheWay[0];
            onTheWay.shift();
            for (const [to, limit] of limits.entries()) {
              if (to !== from) limit.onPeersSent(1, nowMs);
            }
          }
          for (; arrived < (nowMs * demand) / 1000; arrived++) {
            const from = arrived % count;
            if (!limits[from].isUsable(nowMs)) continue;
            limits[from].onSent(nowMs);
            sentMs.push(nowMs);
            onTheWay.push({atMs: nowMs + delay, from});
          }
        }
        const most = mostInWindow(sentMs);
        assert.ok(most <= allowedAt(rate), `${most} of ${allowedAt(rate)}`);
        const wanted = Math.min(rate, demand) * 12;
        assert.ok(sentMs.length >= 0.7 * wanted - 2, `${sentMs.length} sent`);
      }
    ),
    {numRuns: 100, seed: 20261204}
  );
});
