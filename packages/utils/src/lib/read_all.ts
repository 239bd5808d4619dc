import {GrowingBuffer} from './growing_buffer.js';
import {TaggedError} from './tagged_error.js';

import type {Readable} from 'node:stream';

/**
 * Reads a stream to its end. Rejects if it fails or has more than `maxBytes`,
 * and destroys it then.
 *
 * @internal
 */
export async function readAll(
  from: Readable,
  maxBytes: number
): Promise<Buffer> {
  const all = GrowingBuffer.create(maxBytes);
  for await (const data of from) {
    const chunk = data as Buffer;
    // Leaving the loop destroys the stream.
    if (all.length + chunk.length > maxBytes) throw tooLarge(maxBytes);
    all.add(chunk);
  }
  return all.bytes;
}

function tooLarge(maxBytes: number): TaggedError {
  return TaggedError.create({
    kind: 'too_large',
    message: `more than ${maxBytes} bytes`,
  });
}
