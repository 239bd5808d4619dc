import {FlushedEndSocket} from './flushed_end_socket.js';

import type http from 'node:http';
import type {Socket} from 'node:net';

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
/** A write failed on a connection that was closed before it was reset. */
const CODE_RESET_AFTER_CLOSE = 'EPIPE';
/** Servers ignore an empty line in front of a request. */
const EMPTY_LINE = '\r\n';

/**
 * Watches how the body of a response ends; to be called when its head arrives.
 * The returned function tells, once the stream has ended, whether the body
 * arrived in full.
 *
 * A length or chunks show by themselves where a body ends. A body with neither is
 * complete if the server closed the connection, and broken off if it reset it.
 *
 * @internal
 */
export function watchBodyEnd(res: http.IncomingMessage): () => boolean {
  if (!endsWithConnection(res)) return () => res.complete;
  const wasClosed = watchClose(res.socket);
  return () => res.complete && wasClosed();
}

/** Whether the body comes in chunks. @internal */
export function isChunked(res: http.IncomingMessage): boolean {
  return mayHaveBody(res) && res.headers['transfer-encoding'] !== undefined;
}

/** Whether the body has neither a length nor chunks. */
function endsWithConnection(res: http.IncomingMessage): boolean {
  const {'content-length': length, 'transfer-encoding': coding} = res.headers;
  return mayHaveBody(res) && length === undefined && coding === undefined;
}

function mayHaveBody(res: http.IncomingMessage): boolean {
  if (res.statusCode === STATUS_NO_CONTENT) return false;
  if (res.statusCode === STATUS_NOT_MODIFIED) return false;
  return methodOf(res) !== 'HEAD';
}

function methodOf(res: http.IncomingMessage): string | undefined {
  // Node sets the request of a response, which its types leave out.
  return (res as {req?: http.ClientRequest}).req?.method;
}

/**
 * Tells whether the other side closed a connection, and did not reset it. Node
 * reports a reset that arrives together with the last bytes as an ordinary end;
 * a write fails then. It shows nothing while it waits for an earlier write.
 */
function watchClose(socket: Socket): () => boolean {
  let hasEnded = false;
  // Before Node's own listener, which destroys the socket.
  socket.prependOnceListener('end', () => {
    hasEnded = socket instanceof FlushedEndSocket || !socket.writableLength;
    socket.write(EMPTY_LINE);
  });
  return () => {
    const err: NodeJS.ErrnoException | null = socket.errored;
    return err === null ? hasEnded : err.code === CODE_RESET_AFTER_CLOSE;
  };
}
