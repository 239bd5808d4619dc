import {startInternalServer} from '@applebend/utils';

import type http from 'node:http';
import type {PortOptions} from '@applebend/utils';

const READY = 200;
const NOT_READY = 503;

/**
 * Serves readiness checks: 200 if the balancer may send new connections here,
 * else 503. Resolves when the port is open.
 *
 * @public
 */
export function startReadinessServer(
  port: PortOptions,
  isReady: () => boolean
): Promise<http.Server> {
  return startInternalServer(port, async (_req, res) => {
    res.writeHead(isReady() ? READY : NOT_READY, {'Content-Length': 0});
    res.end();
  });
}
