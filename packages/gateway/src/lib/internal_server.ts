import http from 'node:http';
import {listenWhenFree} from '@applebend/utils';

import type {PortOptions} from '@applebend/utils';

/** Answers one request; its body is discarded. @public */
export type InternalHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse
) => Promise<void>;

/**
 * Starts an HTTP server for the fleet itself: the balancer's checks, peers,
 * scrapers of metrics. Resolves when the port is open, see `openPort`.
 *
 * @public
 */
export async function startInternalServer(
  port: PortOptions,
  handle: InternalHandler
): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    req.resume();
    void handle(req, res);
  });
  await listenWhenFree(server, port);
  return server;
}
