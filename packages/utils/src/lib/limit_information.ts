import type http from 'node:http';

/** A server sends few responses of class 1xx before the final one. */
const MAX_INFORMATIONAL = 32;

/**
 * Destroys a request whose server sends informational responses without an end;
 * the request then fails.
 *
 * @internal
 */
export function limitInformation(req: http.ClientRequest): void {
  let count = 0;
  req.on('information', () => {
    count += 1;
    if (count <= MAX_INFORMATIONAL || req.destroyed) return;
    req.destroy(new RangeError('too many informational responses'));
  });
}
