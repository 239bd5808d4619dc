import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {test} from 'node:test';
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
