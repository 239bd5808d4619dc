import assert from 'node:assert/strict';
import http from 'node:http';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {TargetAgent} from './target_agent.js';

import type {AddressInfo, Socket} from 'node:net';

test('a reused connection does not accumulate listeners', async () => {
  const server = http.createServer((_req, res) => res.end('ok'));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const agent = TargetAgent.create();
  const sockets = new Set<Socket>();
  /** Resolves when the connection is back in the agent's pool. */
  const call = () =>
    new Promise<void>((resolve, reject) => {
      const req = http.get({host: '127.0.0.1', port, agent}, res => {
        res.resume();
        res.on('close', () => setImmediate(resolve));
      });
      req.on('socket', socket => sockets.add(socket));
      req.on('error', reject);
    });
  try {
    for (let i = 0; i < 12; i++) await call();
    assert.equal(sockets.size, 1, 'all calls use one connection');
    const [socket] = sockets;
    assert.ok(socket.listenerCount('error') <= 2);
    assert.ok(socket.listenerCount('data') <= 2);
  } finally {
    agent.destroy();
    server.close();
  }
});

test('a connection is kept nearly as long as its target says', async () => {
  const server = http.createServer((_req, res) => res.end('ok'));
  server.keepAliveTimeout = 6000;
  let connections = 0;
  server.on('connection', () => (connections += 1));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const agent = TargetAgent.create();
  const call = () =>
    new Promise<void>((resolve, reject) => {
      const req = http.get({host: '127.0.0.1', port, agent}, res => {
        res.resume();
        res.on('close', resolve);
      });
      req.on('error', reject);
    });
  try {
    await call();
    await sleep(4500);
    await call();
    assert.equal(connections, 1);
    await sleep(5500);
    await call();
    assert.equal(connections, 2, 'closed 1 s before the target closes it');
  } finally {
    agent.destroy();
    server.close();
  }
});
