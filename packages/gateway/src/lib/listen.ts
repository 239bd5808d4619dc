/** Opens a server's port. */
import type http from 'node:http';
import type {ListenAddress} from './ports.js';

/** Resolves when the port is open; rejects where it cannot be. @public */
export function listenOn(
  server: http.Server,
  {host, port}: ListenAddress
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}
