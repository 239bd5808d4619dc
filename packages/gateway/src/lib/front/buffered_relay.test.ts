import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import v8 from 'node:v8';
import vm from 'node:vm';
import {ResponseMemory} from '@applebend/routing';
import {BufferedRelay} from './buffered_relay.js';

import type http from 'node:http';
import type {TargetResponse} from '../upstream/target_call.js';

const RESPONSES = 10;
const BYTES = 50_000;
/** A response keeps 256 KB at most, in a buffer of up to twice that. */
const MAX_KEPT_BYTES = RESPONSES * 2 * 256 * 1024;

/** Bytes of the heap and of buffers that are in use. */
function usedBytes(): number {
  v8.setFlagsFromString('--expose-gc');
  (vm.runInNewContext('gc') as () => void)();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

test('responses in chunks of one byte do not fill the heap', () => {
  const memory = ResponseMemory.create(Infinity);
  const beforeBytes = usedBytes();
  const events = {onDone: () => undefined, onAborted: () => undefined};
  const relays = Array.from({length: RESPONSES}, () => {
    const from = new EventEmitter();
    const response = {res: from} as unknown as TargetResponse;
    const to = new EventEmitter() as http.ServerResponse;
    const claim = memory.claim();
    const relay = BufferedRelay.create(
      response,
      to,
      false,
      events,
      claim,
      f => f
    );
    for (let i = 0; i < BYTES; i++)
      from.emit('data', Buffer.allocUnsafeSlow(1));
    return relay;
  });
  const keptBytes = usedBytes() - beforeBytes;
  assert.equal(relays.length, RESPONSES);
  assert.ok(keptBytes < MAX_KEPT_BYTES, `${keptBytes} bytes more in use`);
});

/** A response to a caller that reads all that is written. */
class Caller extends EventEmitter {
  bytes = 0;
  isEnded = false;
  readonly headersSent = false;
  writeHead(): void {}
  write(chunk: Buffer): boolean {
    this.bytes += chunk.length;
    return true;
  }
  end(body?: Buffer): void {
    this.bytes += body?.length ?? 0;
    this.isEnded = true;
    this.emit('close');
  }
}

test('slow responses of many targets do not fill the memory together', () => {
  const limitBytes = 1024 * 1024;
  const memory = ResponseMemory.create(limitBytes);
  const events = {onDone: () => undefined, onAborted: () => undefined};
  const chunk = Buffer.alloc(1000);
  const relays = Array.from({length: 100}, () => {
    const from = new EventEmitter();
    const head = {headers: []};
    const isComplete = () => true;
    const response = {res: from, head, status: 200, isComplete};
    const to = new Caller();
    BufferedRelay.create(
      response as unknown as TargetResponse,
      to as unknown as http.ServerResponse,
      false,
      events,
      memory.claim(),
      f => f
    );
    return {from, to};
  });
  for (let i = 0; i < 100; i++) {
    for (const {from} of relays) from.emit('data', chunk);
    assert.ok(memory.heldBytes <= limitBytes);
  }
  for (const {from} of relays) from.emit('end');
  for (const {to} of relays) {
    assert.deepEqual([to.bytes, to.isEnded], [100_000, true]);
  }
  assert.equal(memory.heldBytes, 0);
});
