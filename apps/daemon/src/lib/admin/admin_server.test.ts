import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {LOG_LEVEL, Logger, Metrics} from '@applebend/telemetry';
import {AdminServer} from './admin_server.js';

import type {AddressInfo} from 'node:net';

const HOST = '127.0.0.1';

async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

function get(port: number, path: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const req = http.get({host: HOST, port, path, agent: false}, res => {
      res.resume();
      resolve(res.statusCode ?? 0);
    });
    req.on('error', reject);
  });
}

function fault(): never {
  throw new RangeError('a fault');
}

test('a fault of an admin handler ends its request and not the process', async () => {
  const port = await freePort();
  const admin = await AdminServer.create({
    host: HOST,
    port,
    log: Logger.create(LOG_LEVEL.error, {}),
    metrics: Metrics.create(),
    unreadiness: fault,
    status: fault,
    collect: fault,
    drain: fault,
  });
  try {
    for (const path of ['/readyz', '/status', '/metrics']) {
      assert.equal(await get(port, path), 500, path);
    }
    assert.equal(await get(port, '/healthz'), 200);
  } finally {
    admin.stop();
  }
});
