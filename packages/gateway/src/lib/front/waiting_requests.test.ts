/** Guards against waiting requests that fill the heap of 160 MB. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {REQUEST_BYTES, VERDICT, WaitingRequests} from './waiting_requests.js';

const MB = 1024 * 1024;
/** Half of the heap is left to all else. */
const BOUND_BYTES = 80 * MB;

/** Adds requests of one connection until it may bring no more. */
function fill(waiting: WaitingRequests, isPassedOn: boolean) {
  let heldBytes = 0;
  for (;;) {
    heldBytes += REQUEST_BYTES;
    const verdict = waiting.add(REQUEST_BYTES, heldBytes, isPassedOn);
    if (verdict !== VERDICT.keep) return {verdict, heldBytes};
    if (heldBytes > BOUND_BYTES) throw new RangeError('no bound');
  }
}

test('a connection of which nothing was passed on is closed at the bound', () => {
  const waiting = WaitingRequests.create();
  assert.equal(fill(waiting, false).verdict, VERDICT.close);
});

test('a connection with a request at a target ends after its answer', () => {
  const waiting = WaitingRequests.create();
  assert.equal(fill(waiting, true).verdict, VERDICT.endAfterAnswer);
});

test('a flood does not cost a connection with few waiting requests', () => {
  const waiting = WaitingRequests.create();
  fill(waiting, false);
  for (let i = 1; i <= 10; i++) {
    const verdict = waiting.add(REQUEST_BYTES, i * REQUEST_BYTES, false);
    assert.equal(verdict, VERDICT.keep);
  }
});

test('the memory of all waiting requests is bounded, whoever holds it', () => {
  const waiting = WaitingRequests.create();
  let verdict: string = VERDICT.keep;
  while (verdict !== VERDICT.close && waiting.heldBytes < 2 * BOUND_BYTES) {
    verdict = waiting.add(REQUEST_BYTES, REQUEST_BYTES, true);
  }
  assert.equal(verdict, VERDICT.close);
  assert.ok(waiting.heldBytes <= BOUND_BYTES);
});

test('connections bring requests again once the memory is free', () => {
  const waiting = WaitingRequests.create();
  const {heldBytes} = fill(waiting, false);
  waiting.remove(waiting.count);
  waiting.release(heldBytes);
  assert.deepEqual([waiting.count, waiting.heldBytes], [0, 0]);
  const verdict = waiting.add(REQUEST_BYTES, MB, false);
  assert.equal(verdict, VERDICT.keep);
});
