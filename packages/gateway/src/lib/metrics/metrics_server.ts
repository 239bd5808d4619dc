import http from 'node:http';
import {listenOn} from '../listen.js';

import type {ListenAddress} from '../ports.js';

/** Serves metrics over HTTP. Resolves when the port is open. @public */
export async function startMetricsServer(
  address: ListenAddress,
  text: () => Promise<string>
): Promise<http.Server> {
  const server = http.createServer((req, res) => {
    req.resume();
    void text().then(body => {
      res.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
      res.end(body);
    });
  });
  await listenOn(server, address);
  return server;
}
