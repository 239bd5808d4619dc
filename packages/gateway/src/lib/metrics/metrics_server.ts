import {startInternalServer} from '@applebend/utils';

import type http from 'node:http';
import type {PortOptions} from '@applebend/utils';

/** Serves metrics over HTTP. Resolves when the port is open. @public */
export function startMetricsServer(
  port: PortOptions,
  text: () => Promise<string>
): Promise<http.Server> {
  return startInternalServer(port, async (_req, res) => {
    const body = await text();
    res.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
    res.end(body);
  });
}
