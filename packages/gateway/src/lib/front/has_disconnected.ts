import {setImmediate} from 'node:timers/promises';

import type {Socket} from 'node:net';

/**
 * Calls of `setImmediate` until a close that was received is reported. The
 * first may return in the turn of the event loop that read the request.
 */
const CLOSE_DETECTION_TURNS = 2;

/**
 * Whether the caller has disconnected. If a connection waited long to be
 * accepted, the request is read together with the caller's close, which the
 * event loop reports a turn later.
 *
 * @internal
 */
export async function hasDisconnected(socket: Socket): Promise<boolean> {
  for (let turn = 0; turn < CLOSE_DETECTION_TURNS; turn++) await setImmediate();
  return socket.destroyed || socket.readableEnded;
}
