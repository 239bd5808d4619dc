import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {TargetPause} from './target_pause.js';

/** Sends all that is allowed at a time; returns the number of requests. */
function sendAll(pause: TargetPause, nowMs: number, most: number): number {
  let sent = 0;
  while (sent < most && pause.isUsable(nowMs)) {
    pause.onSent();
    sent += 1;
  }
  return sent;
}

test('without a pause everything is sent', () => {
  assert.equal(sendAll(TargetPause.create(), 0, 1000), 1000);
});

test('nothing is sent before the pause is over, few at once after it', () => {
  const pause = TargetPause.create();
  pause.start(1500, 100);
  assert.equal(sendAll(pause, 100, 100), 0);
  assert.equal(sendAll(pause, 1599, 100), 0);
  assert.equal(sendAll(pause, 1600, 100), 2);
  assert.equal(sendAll(pause, 1601, 100), 0);
  pause.onServed();
  assert.equal(sendAll(pause, 1700, 100), 3);
  pause.onServed();
  pause.onServed();
  assert.equal(sendAll(pause, 1800, 100), 6);
  assert.equal(sendAll(pause, 2600, 100), 100, 'no limit after a second');
});

test('a pause in the ramp starts over; a shorter one does not cut a longer', () => {
  const pause = TargetPause.create();
  pause.start(1000, 0);
  pause.start(100, 500);
  assert.equal(sendAll(pause, 999, 10), 0);
  assert.equal(sendAll(pause, 1000, 10), 2);
  pause.start(300, 1100);
  assert.equal(sendAll(pause, 1399, 10), 0);
  assert.equal(sendAll(pause, 1400, 10), 2);
});

test('whatever is asked for, no request falls into the pause, and it ends', () => {
  const step = fc.record({
    afterMs: fc.integer({min: 0, max: 800}),
    pauseMs: fc.option(fc.double({min: 0, max: 1e9, noNaN: true})),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 30}), steps => {
      const pause = TargetPause.create();
      let nowMs = 0;
      let pausedUntilMs = -Infinity;
      for (const {afterMs, pauseMs} of steps) {
        nowMs += afterMs;
        const isUsable = pause.isUsable(nowMs);
        if (isUsable) assert.ok(nowMs >= pausedUntilMs);
        if (isUsable) pause.onSent();
        if (pauseMs === null) continue;
        pause.start(pauseMs, nowMs);
        const endsAtMs = nowMs + Math.min(60_000, pauseMs);
        pausedUntilMs = Math.max(pausedUntilMs, endsAtMs);
      }
      assert.ok(pause.isUsable(nowMs + 61_000));
    })
  );
});
