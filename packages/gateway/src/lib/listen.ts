import type http from 'node:http';
import type {ListenAddress} from './ports.js';

/** The default of Node. */
const DEFAULT_BACKLOG = 511;

/**
 * Makes a server listen. Resolves when the port is open; rejects if it cannot
 * be opened.
 *
 * @param backlog - maximum number of connections that wait to be accepted
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
