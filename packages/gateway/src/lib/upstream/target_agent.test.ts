import assert from 'node:assert/strict';
import http from 'node:http';
import {test} from 'node:test';
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
