import {isFollowed, LINGER_MS} from './caller_connection.js';

import type http from 'node:http';
import type {Execution} from '../execution.js';

/** A final response of the gateway itself. @public */
export interface GatewayResponse {
  readonly status: number;
  /** Why there is no response of a target, for callers and the log. */
  readonly kind: string;
  readonly execution: Execution;
  /** Seconds after which the caller should retry; unset if it should not. */
  readonly retryAfterS?: number;
}

/** The HTTP statuses that the gateway itself sends. @public */
export const STATUS = {
  ok: 200,
  badRequest: 400,
  unauthorized: 401,
  notFound: 404,
  tooLarge: 413,
  expectationFailed: 417,
  tooManyRequests: 429,
  internalError: 500,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
} as const;

/**
 * Sends a response as JSON. If another response has begun, closes the
 * connection instead, so that the caller sees that it is incomplete.
 *
 * @param closeConnection - whether to ask the caller to close its connection,
 *     unless other requests wait on it
 * @public
 */
export function sendResponse(
  res: http.ServerResponse,
  response: GatewayResponse,
  closeConnection: boolean
): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  res.end(writeHead(res, response, closeConnection));
}

/**
 * Responds to a request whose body is not read to its end, and closes the
 * connection. The close comes a little later, and what arrives until then is
 * discarded: bytes that are unread at the close reset the connection, by which
 * the caller may lose the response.
 *
 * @public
 */
export function refuseUnread(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  response: GatewayResponse
): void {
  res.write(writeHead(res, response, true));
  if (req.complete) {
    res.end();
    return;
  }
  const timer = setTimeout(() => res.end(), LINGER_MS);
  res.once('close', () => clearTimeout(timer));
  req.once('end', () => res.end());
  req.resume();
}

/** Writes the head of a response and returns its body. */
function writeHead(
  res: http.ServerResponse,
  response: GatewayResponse,
  closeConnection: boolean
): string {
  const {status, kind, execution, retryAfterS} = response;
  const body = JSON.stringify({error: {kind, ran: execution}});
  const headers: Record<string, string | number> = {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
  };
  if (retryAfterS !== undefined)
    headers['Retry-After'] = retryAfterS.toFixed(2);
  if (closeConnection && !isFollowed(res)) headers['Connection'] = 'close';
  res.writeHead(status, headers);
  return body;
}
