import {TaggedError} from './tagged_error.js';

import type {Readable} from 'node:stream';

/**
 * Reads a stream to its end. Rejects if it fails or has more than `maxBytes`,
 * and destroys it then.
 *
 * @public
 */
export async function readAll(
  from: Readable,
  maxBytes: number
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const data of from) {
    const chunk = data as Buffer;
    bytes += chunk.length;
    // Leaving the loop destroys the stream.
    if (bytes > maxBytes) throw tooLarge(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): TaggedError {
  return TaggedError.create({
    kind: 'too_large',
    message: `more than ${maxBytes} bytes`,
  });
}
