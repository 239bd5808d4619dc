/** Guards against internal requests that end the process or use up its memory. */
import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {startReadinessServer} from './front/readiness_server.js';
import {startMetricsServer} from './metrics/metrics_server.js';
import {startConfigServer} from './peers/config_transfer.js';

import type {AddressInfo} from 'node:net';

const HOST = '127.0.0.1';
const log = Logger.create(LOG_LEVEL.error, {});
const PORT = {host: HOST, port: 0, purpose: 'test', log};
/** Stands for any number; one process must not need a descriptor for each. */
const SCANNER_CONNECTIONS = 1000;
const MAX_OPEN = 300;

function get(server: http.Server, path = '/'): Promise<number> {
  const {port} = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const req = http.get({host: HOST, port, path, agent: false}, res => {
      res.resume();
      resolve(res.statusCode ?? 0);
    });
    req.on('error', reject);
  });
}

function close(server: http.Server): void {
  server.close();
  server.closeAllConnections();
}

function fault(): never {
  throw new RangeError('a fault');
}

const FAULTY: Readonly<Record<string, () => Promise<http.Server>>> = {
  'metrics text rejects': () => startMetricsServer(PORT, async () => fault()),
  'readiness throws': () => startReadinessServer(PORT, fault),
  'configuration throws': () => startConfigServer(PORT, fault),
};

for (const [name, start] of Object.entries(FAULTY)) {
  test(`a fault of a handler ends its request and not the process: ${name}`, async () => {
    const server = await start();
    try {
      assert.equal(await get(server, '/configuration'), 500);
      assert.equal(await get(server, '/configuration'), 500);
    } finally {
      close(server);
    }
  });
}

test('a scanner that opens many connections keeps no check out', async () => {
  const server = await startReadinessServer(PORT, () => true);
  const {port} = server.address() as AddressInfo;
  const scanners: net.Socket[] = [];
  try {
    for (let i = 0; i < SCANNER_CONNECTIONS; i++) {
      const socket = net.connect(port, HOST);
      socket.on('error', () => undefined);
      scanners.push(socket);
      await new Promise(resolve => socket.once('connect', resolve));
    }
    assert.equal(await get(server), 200);
    const open = await new Promise<number>(resolve =>
      server.getConnections((_err, count) => resolve(count))
    );
    assert.ok(open <= MAX_OPEN, `${open} connections are open`);
  } finally {
    for (const socket of scanners) socket.destroy();
    close(server);
  }
});

test('a connection that sends nothing is closed', async () => {
  const server = await startReadinessServer(PORT, () => true);
  const {port} = server.address() as AddressInfo;
  const socket = net.connect(port, HOST);
  socket.resume();
  try {
    const closed = new Promise<boolean>(resolve => {
      socket.on('close', () => resolve(true));
      setTimeout(() => resolve(false), 15_000).unref();
    });
    assert.equal(await closed, true);
  } finally {
    socket.destroy();
    close(server);
  }
});
