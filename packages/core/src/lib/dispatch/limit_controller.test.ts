import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LimitController} from './limit_controller.js';

const SETTINGS = {
  startSlots: 8,
  maxSlots: 24,
  firstTokenTargetMs: 890,
  betweenTokensTargetMs: 46,
};
const RESPONSES = 2000;

/**
 * The controller after many responses of a full target whose time between
 * tokens grows by `perSlotMs` for each request that it runs.
 */
function settle(baseMs: number, perSlotMs: number): LimitController {
  const limit = LimitController.create(SETTINGS);
  for (let i = 0; i < RESPONSES; i++) {
    limit.onFull();
    limit.onResponse({
      firstTokenMs: 100,
      betweenTokensMs: baseMs + perSlotMs * limit.slots,
    });
  }
  return limit;
}

test('the limit grows within the latency objectives and no further', () => {
  const limit = settle(10, 2);
  const betweenTokensMs = 10 + 2 * limit.slots;
  assert.ok(limit.slots > SETTINGS.startSlots, `${limit.slots} slots`);
  assert.ok(
    betweenTokensMs <= SETTINGS.betweenTokensTargetMs,
    `${betweenTokensMs}`
  );
});

test('the limit falls when latencies exceed their objectives', () => {
  const limit = settle(10, 12);
  assert.ok(limit.slots < SETTINGS.startSlots);
  assert.ok(10 + 12 * limit.slots <= SETTINGS.betweenTokensTargetMs);
});

test('a target that is never full keeps its limit', () => {
  const limit = LimitController.create(SETTINGS);
  for (let i = 0; i < RESPONSES; i++) {
    limit.onResponse({firstTokenMs: 50, betweenTokensMs: 12});
  }
  assert.equal(limit.slots, SETTINGS.startSlots);
});

test('a target that is far too slow still runs one request', () => {
  assert.equal(settle(500, 1).slots, 1);
});
