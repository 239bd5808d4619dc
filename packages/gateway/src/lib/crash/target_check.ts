import net from 'node:net';

import type {Target} from '@applebend/routing';

/** What a connection attempt tells of a target. @public */
export const TARGET_CHECK = {
  /** Something listens at its address. */
  accepted: 'accepted',
  /** Nothing listens at its address. */
  refused: 'refused',
  /** Neither, in time. */
  unknown: 'unknown',
} as const;

/** @public */
export type TargetCheck = (typeof TARGET_CHECK)[keyof typeof TARGET_CHECK];

/** A target that takes longer to accept or to reject is not known as lost. */
const CHECK_TIMEOUT_MS = 150;

/**
 * Checks whether anything listens at a target's address. A target that only
 * closed one connection accepts a new one.
 *
 * @public
 */
export async function checkTarget(target: Target): Promise<TargetCheck> {
  try {
    return await tryConnect(target);
  } catch {
    // Thrown for an address that nothing can listen at.
    return TARGET_CHECK.unknown;
  }
}

function tryConnect({host, port}: Target): Promise<TargetCheck> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const end = (result: TargetCheck) => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(CHECK_TIMEOUT_MS, () => end(TARGET_CHECK.unknown));
    socket.once('connect', () => end(TARGET_CHECK.accepted));
    socket.once('error', ({code}: NodeJS.ErrnoException) => {
      const isRefused = code === 'ECONNREFUSED';
      end(isRefused ? TARGET_CHECK.refused : TARGET_CHECK.unknown);
    });
  });
}
