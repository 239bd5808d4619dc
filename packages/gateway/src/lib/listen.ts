/** Opens a server's port. */
import type http from 'node:http';
import type {ListenAddress} from './ports.js';

const DEFAULT_BACKLOG = 511;

/**
 * Resolves when the port is open; rejects where it cannot be.
 *
 * @param backlog - connections that may wait to be accepted
 * @public
 */
export function listenOn(
  server: http.Server,
  {host, port}: ListenAddress,
  backlog = DEFAULT_BACKLOG
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, backlog, resolve);
  });
}
