import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CustomerQueue} from './customer_queue.js';

import type {QueuedRequest} from '../dispatch/dispatch_types.js';

function request(
  requestId: string,
  priority: number,
  queuedAtMs: number,
  maxWaitMs: number
): QueuedRequest {
  const announcement = {
    requestId,
    customer: 'c',
    className: 'x',
    estimate: 1,
    fingerprint: requestId,
    affinity: 0,
    avoid: [],
    waitedMs: 0,
  };
  const entry = 'e';
  const short = false;
  return {entry, announcement, priority, short, maxWaitMs, queuedAtMs};
}

function order(queue: CustomerQueue, nowMs: number): string[] {
  return [...queue.inOrder(nowMs)].map(r => r.announcement.requestId);
}

test('requests go by priority, then by arrival', () => {
  const queue = CustomerQueue.create();
  queue.add(request('batch-1', 5, 0, 1000));
  queue.add(request('check-2', 1, 20, 1000));
  queue.add(request('check-1', 1, 10, 1000));
  assert.deepEqual(order(queue, 30), ['check-1', 'check-2', 'batch-1']);
});

test('a request that has waited past its limit goes first', () => {
  const queue = CustomerQueue.create();
  queue.add(request('batch', 5, 0, 100));
  queue.add(request('check', 1, 90, 1000));
  assert.deepEqual(order(queue, 150), ['batch', 'check']);
});

test('an overdue request stays behind an older one that is not overdue', () => {
  const queue = CustomerQueue.create();
  queue.add(request('patient', 5, 0, 10_000));
  queue.add(request('impatient', 5, 10, 100));
  assert.deepEqual(order(queue, 500), ['patient', 'impatient']);
});
