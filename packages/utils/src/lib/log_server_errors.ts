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
  let count = 0;
  let loggedAtMs = -Infinity;
  emitter.on('error', (err: Error) => {
    count += 1;
    const nowMs = performance.now();
    if (nowMs - loggedAtMs < LOG_INTERVAL_MS) return;
    log.warn('server error', {purpose, cause: err.message, count});
    loggedAtMs = nowMs;
    count = 0;
  });
}
