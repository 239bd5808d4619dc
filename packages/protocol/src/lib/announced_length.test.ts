import assert from 'node:assert/strict';
import {test} from 'node:test';
import {decodeFrame} from './codec.js';

const HEADER_BYTES = 5;
const ANNOUNCED = 20_000_000;
/** Far below what an array of the announced length takes (160 MB). */
const MAX_GROWTH_BYTES = 16 * 1024 * 1024;

test('an announced length beyond the frame takes no memory', () => {
  const bytes = Buffer.alloc(HEADER_BYTES);
  bytes[0] = 0xdd;
  bytes.writeUInt32BE(ANNOUNCED, 1);
  const before = process.memoryUsage().heapUsed;
  assert.equal(decodeFrame(bytes).ok, false);
  const growth = process.memoryUsage().heapUsed - before;
  assert.ok(growth < MAX_GROWTH_BYTES, `the heap grew by ${growth} bytes`);
});
