import {logServerErrors} from './log_server_errors.js';
import {sleep} from './sleep.js';
import {errorMessage, TaggedError} from './tagged_error.js';

import type {EventEmitter} from 'node:events';
import type net from 'node:net';

/** What writes structured log lines. @public */
export interface PortLog {
  info(event: string, fields: Readonly<Record<string, unknown>>): void;
  warn(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** A port to open. @public */
export interface PortOptions {
  readonly host: string;
  readonly port: number;
  /** What the port is for, in log lines and errors. */
  readonly purpose: string;
  readonly log: PortLog;
  /** Ends the wait for the port. */
  readonly stopSignal?: AbortSignal;
}

/** Why a port was not opened. @public */
export interface PortError {
  readonly kind: 'port_not_opened' | 'start_stopped';
  readonly message: string;
  /** Code of the system error; undefined if the start was stopped. */
  readonly code?: string;
}

/** Time between two tries to open a port that is in use. */
const RETRY_INTERVAL_MS = 50;
/** Time between two log lines while a port is in use. */
const LOG_INTERVAL_MS = 3000;

/**
 * Opens a port. While it is in use, as by a predecessor that still drains, it is
 * tried again for as long as it takes, because a process that ends instead serves
 * nobody. Rejects with a `PortError` at once for any other reason, or when the
 * signal is aborted; then the port may have been opened just before.
 *
 * @param bind - tries once; rejects with the error of the system
 * @public
 */
export async function openPort(
  bind: () => Promise<void>,
  options: PortOptions
): Promise<void> {
  const {host, port, purpose, log, stopSignal} = options;
  const beganAtMs = performance.now();
  const waitedMs = () => Math.round(performance.now() - beganAtMs);
  let nextLogMs = 0;
  while (!(await tryBind(bind, options))) {
    throwIfStopped(options);
    if (waitedMs() >= nextLogMs) {
      log.warn('port in use', {purpose, host, port, waitedMs: waitedMs()});
      nextLogMs = waitedMs() + LOG_INTERVAL_MS;
    }
    await sleep(RETRY_INTERVAL_MS, stopSignal);
    throwIfStopped(options);
  }
  throwIfStopped(options);
  if (nextLogMs === 0) return;
  log.info('port opened after a wait', {
    purpose,
    host,
    port,
    waitedMs: waitedMs(),
  });
}

/**
 * Makes a server listen, see `openPort`, and logs its errors from then on. The
 * server is closed if this rejects.
 *
 * @public
 */
export async function listenWhenFree(
  server: net.Server,
  options: PortOptions & {
    /** Maximum number of connections that wait to be accepted. */
    readonly backlog?: number;
  }
): Promise<void> {
  const {host, port, backlog} = options;
  const listen = () => server.listen({host, port, backlog});
  try {
    await openPort(() => settle(server, listen), options);
  } catch (err) {
    server.close();
    throw err;
  }
  logServerErrors(server, options.purpose, options.log);
}

/**
 * Resolves at the next `listening` event of a server or a datagram socket, or
 * rejects at its next error.
 *
 * @public
 */
export function settle(
  emitter: EventEmitter,
  begin: () => void
): Promise<void> {
  return new Promise((resolve, reject) => {
    const onListening = () => {
      emitter.off('error', onError);
      resolve();
    };
    const onError = (err: Error) => {
      emitter.off('listening', onListening);
      reject(err);
    };
    emitter.once('listening', onListening);
    emitter.once('error', onError);
    begin();
  });
}

/** Returns whether the port is open; throws if it cannot be. */
async function tryBind(
  bind: () => Promise<void>,
  {host, port, purpose}: PortOptions
): Promise<boolean> {
  try {
    await bind();
    return true;
  } catch (err) {
    const {code} = err as NodeJS.ErrnoException;
    if (code === 'EADDRINUSE') return false;
    const message = `cannot open ${host}:${port} (${purpose}): ${errorMessage(err)}`;
    const kind = 'port_not_opened';
    throw TaggedError.create<PortError>({kind, message, code});
  }
}

function throwIfStopped({host, port, purpose, stopSignal}: PortOptions): void {
  if (stopSignal?.aborted !== true) return;
  const message = `stopped before ${host}:${port} (${purpose}) was open`;
  throw TaggedError.create<PortError>({kind: 'start_stopped', message});
}
