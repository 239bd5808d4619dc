import {EventThrottle} from './event_throttle.js';

import type {EventEmitter} from 'node:events';
import type {PortLog} from './open_port.js';

/** Errors of one server come in bursts, as when no file descriptor is left. */
const LOG_INTERVAL_MS = 1000;

/**
 * Logs the errors of a server or a socket that is open, such as a connection that
 * could not be accepted. Without a listener, such an error ends the process. One
 * line a second at most is written, with the number of errors since the last one.
 *
 * @public
 */
export function logServerErrors(
  emitter: EventEmitter,
  purpose: string,
  log: PortLog
): void {
  const throttle = EventThrottle.create(LOG_INTERVAL_MS);
  emitter.on('error', (err: Error) => {
    const count = throttle.onEvent(performance.now());
    if (count === 0) return;
    log.warn('server error', {purpose, cause: err.message, count});
  });
}
