/** Guards against requests of a connection that overtake, or outlive, others. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RequestQueue} from './request_queue.js';

/** Callers may close up to then before a request reaches a target. */
const CLOSE_BOUND_MS = 500;

/** A queue in which one request runs and `count` wait since `nowMs`. */
function queueWith(count: number, nowMs = 0): RequestQueue<number> {
  const queue = RequestQueue.create<number>();
  for (let i = 0; i <= count; i++) queue.onRequest(i, nowMs);
  return queue;
}

test('requests of one connection run one after the other, in order', () => {
  const queue = RequestQueue.create<number>();
  const ran = [];
  for (let i = 0; i < 5; i++) {
    if (queue.onRequest(i, 0)) ran.push(i);
  }
  assert.deepEqual(ran, [0]);
  for (let i = 0; i < 5; i++) ran.push(queue.onAnswered());
  assert.deepEqual(ran, [0, 1, 2, 3, 4, undefined]);
  assert.equal(queue.onRequest(5, 0), true);
});

test('a moderate number of waiting requests does not stop reading', () => {
  assert.equal(queueWith(10).canRead, true);
});

test('many waiting requests stop reading until some of them are answered', () => {
  const queue = queueWith(2000);
  assert.equal(queue.canRead, false);
  while (!queue.canRead) queue.onAnswered();
  assert.ok(queue.waitingCount > 0);
});

test('no request is passed on behind bytes that may hide a close', () => {
  const queue = queueWith(2000, 1000);
  assert.equal(queue.isUnreadTooLong(1000), false);
  queue.onAnswered();
  assert.equal(queue.isUnreadTooLong(1000 + CLOSE_BOUND_MS), true);
});

test('more bytes that follow at once do not hide how long some were unread', () => {
  const queue = queueWith(2000, 1000);
  while (!queue.canRead) queue.onAnswered();
  for (let i = 0; i < 2000; i++) queue.onRequest(i, 1400);
  assert.equal(queue.isUnreadTooLong(1000 + CLOSE_BOUND_MS), true);
});

test('requests are passed on again once nothing is left unread', () => {
  const queue = queueWith(2000);
  while (!queue.canRead) queue.onAnswered();
  assert.equal(queue.isUnreadTooLong(CLOSE_BOUND_MS), false);
  for (let i = 0; i < 2000; i++) queue.onRequest(i, CLOSE_BOUND_MS);
  assert.equal(queue.isUnreadTooLong(CLOSE_BOUND_MS), false);
});

test('none of the dropped requests runs', () => {
  const queue = queueWith(3);
  assert.equal(queue.drop(), 3);
  assert.equal(queue.onAnswered(), undefined);
});
