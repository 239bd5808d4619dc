import {CallerConnection, stopParsing} from './caller_connection.js';

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';

const HEADER_OVERFLOW = 'HPE_HEADER_OVERFLOW';

/** Status lines for what Node's parser refuses; 400 for all else. */
const STATUS_LINES: Partial<Record<string, string>> = {
  [HEADER_OVERFLOW]: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Answers bytes that are no request as Node does by default, and closes. A request
 * of the same connection that was passed on is answered first.
 *
 * @public
 */
export function onClientError(
  err: NodeJS.ErrnoException,
  socket: Duplex
): void {
  const connection = CallerConnection.of(socket as Socket);
  if (connection?.onClientError(err) === true) return;
  const status = STATUS_LINES[err.code ?? ''] ?? '400 Bad Request';
  if (socket.writable && connection?.hasBegunAnswer !== true) {
    socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
  socket.destroy(err);
}

/**
 * Refuses a head that Node's parser allows, as those that it does not. Node
 * holds the request until its connection closes, so its headers are freed.
 *
 * @public
 */
export function refuseLines(req: http.IncomingMessage): void {
  const {socket} = req;
  req.rawHeaders = [];
  req.headers = {};
  stopParsing(socket);
  if (socket.destroyed) return;
  const err = new Error('too many header lines');
  onClientError(Object.assign(err, {code: HEADER_OVERFLOW}), socket);
}
