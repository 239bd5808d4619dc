import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {COLD_REASON, ColdStart, coldShareOf} from './cold_start.js';

const SPEC = {ratePerS: 7.8, durationMs: 6000};
const BOUND = {overage: 1.5, slack: 5};

/** A target of which this instance owns a share of 2 requests a second. */
function createOwned(): ColdStart {
  const coldStart = ColdStart.create();
  coldStart.setShare(SPEC.durationMs, 2, 0);
  return coldStart;
}

test('the rate of a cold target is divided as the design says', () => {
  assert.deepEqual(coldShareOf(SPEC, BOUND), {owners: 7, ratePerS: 7.8 / 7});
  const tight = {overage: 1.5, slack: 0};
  assert.deepEqual(coldShareOf(SPEC, tight), {owners: 3, ratePerS: 7.8 / 3});
});

test('owners that send a request each beside the rate keep within any bound', () => {
  const ratePerS = fc.double({min: 0.01, max: 200, noNaN: true});
  const overage = fc.double({min: 0, max: 3, noNaN: true});
  const slack = fc.double({min: 0, max: 30, noNaN: true});
  fc.assert(
    fc.property(ratePerS, overage, slack, (rate, factor, extra) => {
      const spec = {ratePerS: rate, durationMs: 1000};
      const share = coldShareOf(spec, {overage: factor, slack: extra});
      assert.ok(share !== undefined && share.owners >= 1);
      if (share.ratePerS === 0) return;
      const most = share.owners * (1 + share.ratePerS);
      assert.ok(most <= rate * factor + extra + 1e-9);
    }),
    {seed: 20261204}
  );
});

test('without a rate or a bound nothing is limited', () => {
  assert.equal(coldShareOf(undefined, BOUND), undefined);
  assert.equal(coldShareOf({ratePerS: 0, durationMs: 1}, BOUND), undefined);
  assert.equal(coldShareOf(SPEC, {overage: Infinity, slack: 0}), undefined);
  const coldStart = ColdStart.create();
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 60_000}, 0);
  coldStart.onLost(0);
  assert.equal(coldStart.isCold(0), false);
  for (let i = 0; i < 100; i++) assert.equal(coldStart.trySend(0), true);
});

test('a registered target is cold for the time that it names and a margin', () => {
  const coldStart = createOwned();
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 3000}, 100);
  assert.equal(coldStart.reason(3599), COLD_REASON.registered);
  assert.equal(coldStart.isCold(3600), false);
});

test('a registration counts once, from when it was first read', () => {
  const coldStart = createOwned();
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 3000}, 0);
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 3000}, 3000);
  assert.equal(coldStart.isCold(3500), false);
});

test('a renewed registration says that the target is warm, or cold again', () => {
  const coldStart = createOwned();
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 9000}, 0);
  coldStart.onRegistered({registeredAt: 2, coldLeftMs: 0}, 1000);
  assert.equal(coldStart.isCold(1000), false);
  coldStart.onRegistered({registeredAt: 3, coldLeftMs: 1000}, 2000);
  assert.equal(coldStart.isCold(3499), true);
});

test('an owner sends one request at once and its share of the rate', () => {
  const coldStart = createOwned();
  coldStart.onLost(0);
  // Its share begins empty: a former process of this instance may have used it.
  assert.equal(coldStart.trySend(0), false);
  assert.equal(coldStart.availableAtMs(0), 500);
  assert.equal(coldStart.trySend(4000), true);
  assert.equal(coldStart.trySend(4000), false);
  assert.equal(coldStart.trySend(4500), true);
  assert.equal(coldStart.rate(4500), 2);
});

test('requests that were sent while it was warm count as well', () => {
  const coldStart = createOwned();
  for (let i = 0; i < 20; i++) assert.equal(coldStart.trySend(3000), true);
  coldStart.onLost(3000);
  assert.equal(coldStart.availableAtMs(3000), 3500);
});

test('an instance without a share sends nothing until the target is warm', () => {
  const coldStart = ColdStart.create();
  coldStart.setShare(SPEC.durationMs, 0, 0);
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 3000}, 0);
  assert.equal(coldStart.trySend(3499), false);
  assert.equal(coldStart.availableAtMs(100), 3500);
  assert.equal(coldStart.trySend(3500), true);
});

test('an instance that loses its share sends nothing, whatever it had left', () => {
  const coldStart = createOwned();
  coldStart.onLost(0);
  coldStart.setShare(SPEC.durationMs, 0, 2000);
  assert.equal(coldStart.trySend(2000), false);
});

test('a lost target is cold for 10 s at most, however often peers tell of it', () => {
  const coldStart = createOwned();
  coldStart.onTargetLoss(1000);
  coldStart.onTargetLoss(3000);
  assert.equal(coldStart.reason(10_999), COLD_REASON.lost);
  assert.equal(coldStart.isCold(11_000), false);
  // It refused two connections of this instance.
  coldStart.onLost(12_000);
  coldStart.onLost(13_000);
  assert.equal(coldStart.isCold(22_999), true);
  assert.equal(coldStart.isCold(23_000), false);
});

test('the registration of a lost target may be older than the loss', () => {
  const coldStart = createOwned();
  coldStart.onLost(0);
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 500}, 100);
  assert.equal(coldStart.isCold(1200), true);
  // The second renewal is younger, and says how long the target stays cold.
  coldStart.onRegistered({registeredAt: 2, coldLeftMs: 500}, 1200);
  assert.equal(coldStart.isCold(2200), false);
});

test('a warm registration does not show that a lost target did not restart', () => {
  const coldStart = createOwned();
  coldStart.onLost(0);
  for (let i = 1; i < 5; i++) {
    coldStart.onRegistered({registeredAt: i, coldLeftMs: 0}, i * 1000);
    assert.equal(coldStart.isCold(i * 1000), true);
  }
});

test('the next incarnation has only what the former one left of the share', () => {
  const former = createOwned();
  former.onLost(1000);
  assert.equal(former.trySend(1000), true);
  const next = former.createSuccessor();
  next.setShare(SPEC.durationMs, 2, 1100);
  next.onRegistered({registeredAt: 2, coldLeftMs: 1000}, 1100);
  assert.equal(next.trySend(1200), false);
  assert.equal(next.trySend(1500), true);
  assert.equal(next.isCold(2600), false);
});

test('after an evacuation a target is cold until its second renewal says that it is not', () => {
  const coldStart = createOwned();
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 0}, 0);
  coldStart.onEvacuationEnded(1000);
  assert.equal(coldStart.reason(1000), COLD_REASON.evacuationEnded);
  // Written before the end, perhaps.
  coldStart.onRegistered({registeredAt: 2, coldLeftMs: 0}, 1500);
  assert.equal(coldStart.isCold(1500), true);
  coldStart.onRegistered({registeredAt: 3, coldLeftMs: 0}, 2000);
  assert.equal(coldStart.isCold(2000), false);
});

test('after an evacuation a target that says that it is cold is so for that time', () => {
  const coldStart = createOwned();
  coldStart.onEvacuationEnded(0);
  coldStart.onRegistered({registeredAt: 2, coldLeftMs: 900}, 500);
  coldStart.onRegistered({registeredAt: 3, coldLeftMs: 400}, 1000);
  assert.equal(coldStart.isCold(1899), true);
  assert.equal(coldStart.isCold(1900), false);
});

test('after an evacuation a target is cold no longer than after a start', () => {
  const coldStart = createOwned();
  coldStart.onEvacuationEnded(1000);
  assert.equal(coldStart.isCold(6999), true);
  assert.equal(coldStart.isCold(7000), false);
});

test('renewals are needed near the end of the cold time, when it may have begun anew', () => {
  const coldStart = createOwned();
  assert.equal(coldStart.needsRenewal(0), false);
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 3000}, 0);
  assert.equal(coldStart.needsRenewal(2999), false);
  assert.equal(coldStart.needsRenewal(3000), true);
  // A registration that is not renewed is not read forever.
  assert.equal(coldStart.needsRenewal(4999), true);
  assert.equal(coldStart.needsRenewal(5000), false);
  coldStart.onRegistered({registeredAt: 2, coldLeftMs: 0}, 4000);
  assert.equal(coldStart.needsRenewal(4000), false);
});

test('renewals are needed after an evacuation until two have been read', () => {
  const coldStart = createOwned();
  coldStart.onEvacuationEnded(1000);
  assert.equal(coldStart.needsRenewal(1000), true);
  assert.equal(coldStart.needsRenewal(7000), false);
  coldStart.onRegistered({registeredAt: 2, coldLeftMs: 0}, 1500);
  assert.equal(coldStart.needsRenewal(1500), true);
  coldStart.onRegistered({registeredAt: 3, coldLeftMs: 0}, 2000);
  assert.equal(coldStart.needsRenewal(2000), false);
});

test('without a limit no renewals are needed', () => {
  const coldStart = ColdStart.create();
  coldStart.onRegistered({registeredAt: 1, coldLeftMs: 3000}, 0);
  coldStart.onEvacuationEnded(0);
  assert.equal(coldStart.needsRenewal(0), false);
  assert.equal(coldStart.needsRenewal(3200), false);
});
