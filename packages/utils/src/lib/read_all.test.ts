import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import v8 from 'node:v8';
import vm from 'node:vm';
import {readAll} from './read_all.js';

test('a stream is read to its end, up to the limit', async () => {
  const parts = [Buffer.from('ab'), Buffer.from('cd')];
  const all = await readAll(Readable.from(parts), 4);
  assert.equal(all.toString(), 'abcd');
});

test('a stream over the limit is destroyed and rejected', async () => {
  const endless = new Readable({
    read() {
      this.push(Buffer.alloc(1024));
    },
  });
  await assert.rejects(readAll(endless, 10_000), /too_large/);
  assert.equal(endless.destroyed, true);
});

test('a stream that fails is rejected', async () => {
  const broken = new Readable({
    read() {
      this.destroy(new RangeError('broken'));
    },
  });
  await assert.rejects(readAll(broken, 10_000), /broken/);
});

/** Bytes of the heap and of buffers that are in use. */
function usedBytes(): number {
  v8.setFlagsFromString('--expose-gc');
  (vm.runInNewContext('gc') as () => void)();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

test('a body in chunks of one byte does not fill the heap', async () => {
  const length = 100_000;
  const maxBytes = 4 * 1024 * 1024;
  const beforeBytes = usedBytes();
  let left = length;
  let growthBytes = 0;
  const from = new Readable({
    highWaterMark: 1,
    read() {
      setImmediate(() => {
        left -= 1;
        if (left === 0) growthBytes = usedBytes() - beforeBytes;
        this.push(left === 0 ? null : Buffer.allocUnsafeSlow(1));
      });
    },
  });
  await readAll(from, maxBytes);
  assert.ok(growthBytes < maxBytes, `${growthBytes} bytes more in use`);
});
