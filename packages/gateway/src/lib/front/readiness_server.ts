import http from 'node:http';
import {listenOn} from '../listen.js';

import type {ListenAddress} from '../ports.js';

const READY = 200;
const NOT_READY = 503;

/**
 * Serves readiness checks: 200 if the balancer may send new connections here,
 * else 503. Resolves when the port is open.
 *
 * @public
 */
export async function startReadinessServer(
  address: ListenAddress,
  isReady: () => boolean
): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    req.resume();
    res.writeHead(isReady() ? READY : NOT_READY, {'Content-Length': 0});
    res.end();
  });
  await listenOn(server, address);
  return server;
}
