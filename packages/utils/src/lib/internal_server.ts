import http from 'node:http';
import {listenWhenFree} from './open_port.js';
import {errorMessage} from './tagged_error.js';

import type {Socket} from 'node:net';
import type {PortOptions} from './open_port.js';

/** Answers one request; its body is discarded. @public */
export type InternalHandler = (
  req: http.IncomingMessage,
  res: http.ServerResponse
) => Promise<void>;

/** Time for a whole request, which has hardly more than a path. */
const REQUEST_TIMEOUT_MS = 5000;
/** A connection on which nothing moves for this long is closed. */
const INACTIVITY_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1000;
/**
 * Connections that stay open. The oldest one is closed for a further one, so
 * that a client that opens many keeps out neither the balancer nor a peer.
 */
const MAX_CONNECTIONS = 256;
const STATUS_FAULT = 500;

/**
 * Starts an HTTP server for the fleet itself: the balancer's checks, peers,
 * scrapers of metrics, operators. A fault of the handler is logged and answered with 500.
 * Resolves when the port is open, see `openPort`.
 *
 * @public
 */
export async function startInternalServer(
  port: PortOptions,
  handle: InternalHandler
): Promise<http.Server> {
  const {log, purpose} = port;
  const onFault = (err: unknown, res: http.ServerResponse) => {
    log.warn('internal request fault', {purpose, cause: errorMessage(err)});
    if (!res.headersSent) res.writeHead(STATUS_FAULT, {'Content-Length': 0});
    res.end();
  };
  const server = http.createServer(
    {
      headersTimeout: REQUEST_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    (req, res) => {
      req.resume();
      res.on('error', () => res.destroy());
      handle(req, res).catch((err: unknown) => onFault(err, res));
    }
  );
  server.setTimeout(INACTIVITY_TIMEOUT_MS);
  limitConnections(server, MAX_CONNECTIONS);
  await listenWhenFree(server, port);
  return server;
}

/** Closes the oldest connection when there are more than `max`. */
function limitConnections(server: http.Server, max: number): void {
  const sockets = new Set<Socket>();
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    if (sockets.size <= max) return;
    const [oldest] = sockets;
    sockets.delete(oldest);
    oldest.destroy();
  });
}
