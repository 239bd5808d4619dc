import {describeError} from './error_fields.js';

import type {Logger} from './logger.js';

const EXIT_FAULT = 1;

/**
 * Logs an exception or a rejection that nothing caught, ends the process in the
 * ordinary way, and exits with code 1. What caused it may have left shared state
 * half changed, so the process does not go on; its callers still get their
 * answers.
 *
 * @param shutDown - lets running work finish; repeated calls are not made
 * @param limitMs - the process ends after this, also if `shutDown` hangs
 * @public
 */
export function shutDownOnFault(
  log: Logger,
  shutDown: () => Promise<void>,
  limitMs: number
): void {
  let isStopping = false;
  process.on('uncaughtException', (err: unknown, origin) => {
    log.error('process fault', {origin, ...describeError(err)});
    if (isStopping) return;
    isStopping = true;
    process.on('exit', () => (process.exitCode = EXIT_FAULT));
    exitAfter(log, limitMs);
    void shutDownAndExit(log, shutDown);
  });
}

/** Ends the process with code 1 if it still runs after a time. @internal */
export function exitAfter(log: Logger, limitMs: number): void {
  setTimeout(() => {
    log.error('shutdown unfinished', {limitMs});
    process.exit(EXIT_FAULT);
  }, limitMs);
}

async function shutDownAndExit(
  log: Logger,
  shutDown: () => Promise<void>
): Promise<void> {
  try {
    await shutDown();
  } catch (err) {
    log.error('shutdown failed', describeError(err));
  }
  process.exit(EXIT_FAULT);
}
