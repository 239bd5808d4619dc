import type http from 'node:http';

/** A refusal's body is shorter, and here sooner. */
const MAX_BYTES = 64 * 1024;
const MAX_MS = 1000;

/**
 * Reads a body that nobody needs, so that its connection can be used again. A
 * long or late one ends the connection instead.
 *
 * @public
 */
export function drainBody(res: http.IncomingMessage): void {
  let bytes = 0;
  const timer = setTimeout(() => res.destroy(), MAX_MS);
  res.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_BYTES) res.destroy();
  });
  res.on('close', () => clearTimeout(timer));
}
