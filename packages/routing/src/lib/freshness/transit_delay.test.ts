import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TransitDelay} from './transit_delay.js';

/** What the receiver's clock shows when the sender's shows 0. */
const OFFSET_MS = 123_456;

test('a message that waited in a queue is late by the time that it waited', () => {
  const transit = TransitDelay.create();
  const receive = (sentAtMs: number, tookMs: number) =>
    transit.onMessage(sentAtMs, OFFSET_MS + sentAtMs + tookMs);
  assert.equal(receive(0, 2), 0);
  assert.equal(receive(100, 902), 900);
  assert.equal(receive(200, 1), 0);
  assert.equal(receive(25_000, 401), 400);
  assert.equal(receive(25_100, 1), 0);
});

test('a sender that was suspended is believed again after a while', () => {
  const transit = TransitDelay.create();
  transit.onMessage(0, OFFSET_MS);
  const lateMs: number[] = [];
  for (let sentAtMs = 100; sentAtMs < 30_000; sentAtMs += 100) {
    lateMs.push(transit.onMessage(sentAtMs, OFFSET_MS + sentAtMs + 5000));
  }
  assert.equal(lateMs[0], 5000);
  assert.equal(lateMs.at(-1), 0);
});
