import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isBoundedMsgpack} from '@applebend/utils';
import fc from 'fast-check';
import {pack} from 'msgpackr';
import {unpackMessage} from './wire_rows.js';

const HEADER_BYTES = 5;
const ANNOUNCED = 20_000_000;
/** Far below what an array of the announced length takes (160 MB). */
const MAX_GROWTH_BYTES = 16 * 1024 * 1024;

test('an announced length beyond the datagram takes no memory', () => {
  const bytes = Buffer.alloc(HEADER_BYTES);
  bytes[0] = 0xdd;
  bytes.writeUInt32BE(ANNOUNCED, 1);
  const before = process.memoryUsage().heapUsed;
  assert.equal(unpackMessage(bytes), undefined);
  const growth = process.memoryUsage().heapUsed - before;
  assert.ok(growth < MAX_GROWTH_BYTES, `the heap grew by ${growth} bytes`);
});

test('values that the packer encodes are not taken for malformed ones', () => {
  const value = fc.anything({
    maxDepth: 4,
    values: [
      fc.string({unit: 'grapheme', maxLength: 300}),
      fc.integer(),
      fc.double(),
      fc.maxSafeInteger(),
      fc.boolean(),
      fc.constantFrom(null, undefined),
      fc.uint8Array({maxLength: 300}).map(bytes => Buffer.from(bytes)),
    ],
  });
  const values = fc.array(value, {maxLength: 40});
  fc.assert(
    fc.property(values, sent => isBoundedMsgpack(pack(sent))),
    {seed: 20_261}
  );
});
