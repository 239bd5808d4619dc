import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import v8 from 'node:v8';
import vm from 'node:vm';
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
  const beforeBytes = usedBytes();
  const events = {onDone: () => undefined, onAborted: () => undefined};
  const relays = Array.from({length: RESPONSES}, () => {
    const from = new EventEmitter();
    const response = {res: from} as unknown as TargetResponse;
    const to = {} as http.ServerResponse;
    const relay = BufferedRelay.create(response, to, false, events, f => f);
    for (let i = 0; i < BYTES; i++)
      from.emit('data', Buffer.allocUnsafeSlow(1));
    return relay;
  });
  const keptBytes = usedBytes() - beforeBytes;
  assert.equal(relays.length, RESPONSES);
  assert.ok(keptBytes < MAX_KEPT_BYTES, `${keptBytes} bytes more in use`);
});
