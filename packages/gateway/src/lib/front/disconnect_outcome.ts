import type {Socket} from 'node:net';

/**
 * Who closed the connection of a caller before its response was complete, as an
 * outcome of its request.
 *
 * @internal
 */
export function disconnectOutcome({
  readableEnded,
  errored,
}: Pick<Socket, 'readableEnded' | 'errored'>): string {
  const isByCaller = readableEnded || errored !== null;
  return isByCaller ? 'caller_left' : 'connection_closed';
}
