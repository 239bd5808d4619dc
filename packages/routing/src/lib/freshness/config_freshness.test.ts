import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ConfigFreshness} from './config_freshness.js';

class FakeClock {
  monotonic = 1000;
  wall = 5_000_000;
  monotonicMs() {
    return this.monotonic;
  }
  wallMs() {
    return this.wall;
  }
  advance(ms: number) {
    this.monotonic += ms;
    this.wall += ms;
  }
}

test('a confirmation is as old as the start of its read', () => {
  const clock = new FakeClock();
  const freshness = ConfigFreshness.create(clock);
  assert.equal(freshness.ageMs(), Infinity);
  const stamp = freshness.startRead();
  clock.advance(900);
  freshness.onConfirmed(stamp);
  assert.equal(freshness.ageMs(), 900);
});

test('a confirmation expires on a suspension or a wall clock step', () => {
  for (const stepMs of [4000, -2400]) {
    const clock = new FakeClock();
    const freshness = ConfigFreshness.create(clock);
    freshness.onConfirmed(freshness.startRead());
    clock.advance(100);
    assert.equal(freshness.ageMs(), 100);
    clock.wall += stepMs;
    assert.equal(freshness.ageMs(), Infinity);
    freshness.onConfirmed(freshness.startRead());
    assert.equal(freshness.ageMs(), 0);
  }
});

test('a read that spans a suspension confirms nothing', () => {
  const clock = new FakeClock();
  const freshness = ConfigFreshness.create(clock);
  const stamp = freshness.startRead();
  clock.wall += 6000;
  freshness.onConfirmed(stamp);
  assert.equal(freshness.ageMs(), Infinity);
});

test('a late response does not replace a newer confirmation', () => {
  const clock = new FakeClock();
  const freshness = ConfigFreshness.create(clock);
  const early = freshness.startRead();
  clock.advance(500);
  freshness.onConfirmed(freshness.startRead());
  freshness.onConfirmed(early);
  assert.equal(freshness.ageMs(), 0);
});
