import {fail, ok} from '@applebend/utils';

import type {IncomingMessage} from 'node:http';
import type {Result} from '@applebend/utils';

/** Why a body was not read to its end. @public */
export interface BodyError {
  /** `broken_off` if the caller disconnected. */
  readonly kind: 'too_large' | 'broken_off';
  readonly message: string;
}

/**
 * Reads the body of a request. Resolves to undefined if it has none, to an
 * error if it is larger than `maxBytes` or the caller disconnects.
 *
 * @public
 */
export function readBody(
  req: IncomingMessage,
  maxBytes: number
): Promise<Result<Buffer | undefined, BodyError>> {
  const {headers} = req;
  const length = Number(headers['content-length'] ?? 0);
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (!isChunked && length === 0) return Promise.resolve(ok(undefined));
  if (length > maxBytes) return Promise.resolve(tooLarge());
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    req.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBytes) {
        resolve(tooLarge());
        return;
      }
      chunks.push(chunk);
    });
    req.on('end', () => resolve(ok(Buffer.concat(chunks))));
    req.on('close', () => resolve(brokenOff()));
    req.on('error', () => resolve(brokenOff()));
  });
}

function tooLarge(): Result<never, BodyError> {
  return fail({kind: 'too_large', message: 'request body over the limit'});
}

function brokenOff(): Result<never, BodyError> {
  return fail({
    kind: 'broken_off',
    message: 'caller disconnected while sending the body',
  });
}
