import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LimitController} from './limit_controller.js';

const TARGETS = {
  startSlots: 8,
  maxSlots: 24,
  firstTokenTargetMs: 890,
  betweenTokensTargetMs: 46,
};
const ANSWERS = 2000;

/** A target whose token time grows with what it runs. */
function settle(baseMs: number, perSlotMs: number): LimitController {
  const limit = LimitController.create(TARGETS);
  for (let i = 0; i < ANSWERS; i++) {
    limit.onFull();
    limit.onResponse({
      firstTokenMs: 100,
      betweenTokensMs: baseMs + perSlotMs * limit.slots,
    });
  }
  return limit;
}

test('the limit grows while the target keeps its times, and no further', () => {
  const limit = settle(10, 2);
  const betweenTokensMs = 10 + 2 * limit.slots;
  assert.ok(limit.slots > TARGETS.startSlots, `${limit.slots} slots`);
  assert.ok(
    betweenTokensMs <= TARGETS.betweenTokensTargetMs,
    `${betweenTokensMs}`
  );
});

test('the limit falls when the target misses its times', () => {
  const limit = settle(10, 12);
  assert.ok(limit.slots < TARGETS.startSlots);
  assert.ok(10 + 12 * limit.slots <= TARGETS.betweenTokensTargetMs);
});

test('a target that is never full keeps its limit', () => {
  const limit = LimitController.create(TARGETS);
  for (let i = 0; i < ANSWERS; i++) {
    limit.onResponse({firstTokenMs: 50, betweenTokensMs: 12});
  }
  assert.equal(limit.slots, TARGETS.startSlots);
});

test('a target that is far too slow still runs one request', () => {
  assert.equal(settle(500, 1).slots, 1);
});
