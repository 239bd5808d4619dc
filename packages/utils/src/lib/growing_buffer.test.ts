import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {GrowingBuffer} from './growing_buffer.js';

test('the bytes are those of the chunks, in order', () => {
  const chunks = fc.array(fc.uint8Array({maxLength: 5000}), {maxLength: 12});
  fc.assert(
    fc.property(chunks, fc.nat({max: 20_000}), (parts, maxBytes) => {
      const buffer = GrowingBuffer.create(maxBytes);
      for (const part of parts) buffer.add(Buffer.from(part));
      assert.deepEqual(buffer.bytes, Buffer.concat(parts));
    })
  );
});

test('a chunk that was added is not overwritten by later ones', () => {
  const whole = Buffer.from('abcd');
  const buffer = GrowingBuffer.create(100);
  buffer.add(whole.subarray(0, 2));
  buffer.add(Buffer.from('xy'));
  assert.equal(whole.toString(), 'abcd');
  assert.equal(buffer.bytes.toString(), 'abxy');
});

test('the capacity stays within the limit and twice the bytes', () => {
  const maxBytes = 100_000;
  const buffer = GrowingBuffer.create(maxBytes);
  for (let bytes = 1; bytes <= maxBytes; bytes++) {
    const capacity = buffer.capacityWith(1);
    assert.ok(capacity >= bytes);
    assert.ok(capacity <= Math.max(4096, Math.min(2 * bytes, maxBytes)));
    buffer.add(Buffer.from([0]));
  }
});

test('a single chunk is not copied', () => {
  const buffer = GrowingBuffer.create(10);
  const chunk = Buffer.from('0123456789');
  buffer.add(chunk);
  assert.equal(buffer.bytes, chunk);
});
