import net from 'node:net';

import type {Target} from '@applebend/routing';

/** A target that takes longer to accept or to reject is not known as lost. */
const CHECK_TIMEOUT_MS = 150;

/**
 * Whether nothing listens at a target's address any more. A target that only
 * closed one connection accepts a new one.
 *
 * @public
 */
export function isTargetLost({host, port}: Target): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host, port});
    const end = (isLost: boolean) => {
      socket.destroy();
      resolve(isLost);
    };
    socket.setTimeout(CHECK_TIMEOUT_MS, () => end(false));
    socket.once('connect', () => end(false));
    socket.once('error', (err: NodeJS.ErrnoException) =>
      end(err.code === 'ECONNREFUSED')
    );
  });
}
