import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {fetchConfigRecord, startConfigServer} from './config_transfer.js';

import type {AddressInfo} from 'node:net';

const log = Logger.create(LOG_LEVEL.error, {});
const LOCAL = {host: '127.0.0.1', port: 0};
const PORT = {...LOCAL, purpose: 'configuration', log};

test('a peer gets the record that is held, and nothing while none is', async () => {
  let record: Buffer | undefined;
  const server = await startConfigServer(PORT, () => record);
  const {port} = server.address() as AddressInfo;
  const peer = {...LOCAL, port};
  try {
    assert.equal(await fetchConfigRecord(peer, log), undefined);
    record = Buffer.from('x'.repeat(200_000));
    assert.deepEqual(await fetchConfigRecord(peer, log), record);
  } finally {
    server.close();
    server.closeAllConnections();
  }
  assert.equal(await fetchConfigRecord(peer, log), undefined, 'it is gone');
});

test('a peer that accepts and stays silent is given up on', async () => {
  const server = net.createServer(() => undefined);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const startMs = performance.now();
  assert.equal(await fetchConfigRecord({...LOCAL, port}, log), undefined);
  assert.ok(performance.now() - startMs < 3000);
  server.close();
});

test('a peer that switches to another protocol is given up on', async () => {
  const answer =
    'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n';
  const server = net.createServer(socket => socket.end(answer));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  assert.equal(await fetchConfigRecord({...LOCAL, port}, log), undefined);
  server.close();
});
