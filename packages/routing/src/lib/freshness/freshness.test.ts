import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Freshness} from './freshness.js';

class FakeClock {
  monotonic = 1000;
  wall = 5_000_000;
  monotonicMs() {
    return this.monotonic;
  }
  wallMs() {
    return this.wall;
  }
  pass(ms: number) {
    this.monotonic += ms;
    this.wall += ms;
  }
}

test('a proof is as old as the sending of its read', () => {
  const clock = new FakeClock();
  const freshness = Freshness.create(clock);
  assert.equal(freshness.ageMs(), Infinity);
  const stamp = freshness.startRead();
  clock.pass(900);
  freshness.onRead(stamp);
  assert.equal(freshness.ageMs(), 900);
});

test('a suspension or a step of the wall clock ends the proof', () => {
  for (const stepMs of [4000, -2400]) {
    const clock = new FakeClock();
    const freshness = Freshness.create(clock);
    freshness.onRead(freshness.startRead());
    clock.pass(100);
    assert.equal(freshness.ageMs(), 100);
    clock.wall += stepMs;
    assert.equal(freshness.ageMs(), Infinity);
    freshness.onRead(freshness.startRead());
    assert.equal(freshness.ageMs(), 0);
  }
});

test('a read that was under way during a suspension proves nothing', () => {
  const clock = new FakeClock();
  const freshness = Freshness.create(clock);
  const stamp = freshness.startRead();
  clock.wall += 6000;
  freshness.onRead(stamp);
  assert.equal(freshness.ageMs(), Infinity);
});

test('an answer that comes late does not set a newer proof back', () => {
  const clock = new FakeClock();
  const freshness = Freshness.create(clock);
  const early = freshness.startRead();
  clock.pass(500);
  freshness.onRead(freshness.startRead());
  freshness.onRead(early);
  assert.equal(freshness.ageMs(), 0);
});
