import {sleep, systemClock} from '@applebend/utils';

/** Time that the balancer may need to stop sending new connections. */
const LAME_DUCK_MS = 3000;
/** Running requests are aborted this long before the forced end. */
const FORCED_CLOSE_MARGIN_MS = 400;
const POLL_MS = 50;

/**
 * Resolves when an instance that is told to stop may close its connections: after
 * the lame-duck period once no request is running, or when the grace period is
 * nearly over.
 *
 * @internal
 */
export async function whenDrained(
  activeCount: () => number | undefined,
  graceMs: number
): Promise<void> {
  const sinceMs = systemClock.monotonicMs();
  const forcedCloseAtMs = sinceMs + graceMs - FORCED_CLOSE_MARGIN_MS;
  for (;;) {
    await sleep(POLL_MS);
    const nowMs = systemClock.monotonicMs();
    const isIdle = activeCount() === 0;
    if (isIdle && nowMs - sinceMs >= LAME_DUCK_MS) return;
    if (nowMs >= forcedCloseAtMs) return;
  }
}
