import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  MAX_USAGE_ROWS,
  UsageCounters,
  UsageReceiver,
} from './usage_counters.js';

import type {UsageRow} from './peer_message.js';

const ROWS_PER_MESSAGE = 4000;
const MESSAGES = 10;

function usageOf(customer: string, tokens: number): UsageRow {
  return {pool: '', customer, requested: tokens, admitted: tokens};
}

function madeUpRows(message: number): UsageRow[] {
  return Array.from({length: ROWS_PER_MESSAGE}, (_, i) =>
    usageOf(`made-up-${message}-${i}`, 1)
  );
}

test('customer names that a peer makes up do not fill the receiver', () => {
  const receiver = UsageReceiver.create(true);
  for (let i = 0; i < MESSAGES; i += 1) receiver.increments(madeUpRows(i));
  assert.ok(receiver.size <= MAX_USAGE_ROWS, `${receiver.size} rows are kept`);
});

test('customer names that a peer makes up do not fill the counters', () => {
  const counters = UsageCounters.create();
  for (let i = 0; i < MESSAGES; i += 1) {
    for (const row of madeUpRows(i)) counters.add(row);
  }
  assert.ok(counters.size <= MAX_USAGE_ROWS, `${counters.size} rows are kept`);
  const changed = counters.takeChanged().length;
  assert.ok(changed <= MAX_USAGE_ROWS, `${changed} rows are sent`);
});

test('a customer that the receiver evicted is not counted twice', () => {
  const receiver = UsageReceiver.create(true);
  receiver.increments([usageOf('c', 500)]);
  for (let i = 0; i < MESSAGES; i += 1) receiver.increments(madeUpRows(i));
  assert.deepEqual(receiver.increments([usageOf('c', 600)]), []);
  assert.deepEqual(receiver.increments([usageOf('c', 650)]), [
    usageOf('c', 50),
  ]);
});

test('a total that begins again after an eviction adds no negative usage', () => {
  const receiver = UsageReceiver.create(true);
  receiver.increments([usageOf('c', 500)]);
  const [row] = receiver.increments([usageOf('c', 20)]);
  assert.deepEqual(row, usageOf('c', 20));
});
