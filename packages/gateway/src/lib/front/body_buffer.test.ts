import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import {BodyBuffer} from './body_buffer.js';

const MAX_BYTES = 100_000;

test('chunks of any size are joined unchanged, within the announced capacity', () => {
  const random = Random.create(3);
  for (let run = 0; run < 50; run++) {
    const buffer = BodyBuffer.create(MAX_BYTES);
    const chunks: Buffer[] = [];
    let bytes = 0;
    for (;;) {
      const chunk = Buffer.alloc(random.int(1, 9000), run + chunks.length);
      if (bytes + chunk.length > MAX_BYTES) break;
      assert.ok(buffer.capacityWith(chunk.length) <= MAX_BYTES);
      assert.ok(buffer.capacityWith(chunk.length) >= bytes + chunk.length);
      buffer.add(chunk);
      chunks.push(chunk);
      bytes += chunk.length;
    }
    assert.ok(buffer.bytes.equals(Buffer.concat(chunks)));
  }
});

test('a body of one chunk is not copied', () => {
  const buffer = BodyBuffer.create(10);
  const chunk = Buffer.from('0123456789');
  buffer.add(chunk);
  assert.equal(buffer.bytes, chunk);
});
