import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sleep} from '@applebend/utils';
import {PeerSocket} from './peer_socket.js';

const WAIT_MS = 200;

test('an address that cannot be sent to does not keep messages from other peers', async () => {
  const log = Logger.create(LOG_LEVEL.error, {});
  const socket = PeerSocket.create(log);
  await socket.open({host: '127.0.0.1', port: 0, purpose: 'peers', log});
  try {
    for (const port of [70_000, -1, NaN]) {
      assert.doesNotThrow(() =>
        socket.send(Buffer.from('a'), {host: '127.0.0.1', port})
      );
    }
  } finally {
    socket.close();
  }
});

test('nothing is sent from another port while the own one is in use', async () => {
  const log = Logger.create(LOG_LEVEL.error, {});
  const occupant = dgram.createSocket('udp4');
  const peer = dgram.createSocket('udp4');
  const socket = PeerSocket.create(log);
  const received: {text: string; port: number}[] = [];
  peer.on('message', (bytes, {port}) =>
    received.push({text: bytes.toString(), port})
  );
  try {
    for (const bound of [occupant, peer]) {
      await new Promise<void>(resolve => bound.bind(0, '127.0.0.1', resolve));
    }
    const {port} = occupant.address();
    const host = '127.0.0.1';
    const to = {host, port: peer.address().port};
    const opened = socket.open({host, port, purpose: 'peers', log});
    socket.send(Buffer.from('early'), to);
    await sleep(WAIT_MS);
    occupant.close();
    await opened;
    socket.send(Buffer.from('late'), to);
    await sleep(WAIT_MS);
    assert.deepEqual(received, [{text: 'late', port}]);
  } finally {
    socket.close();
    peer.close();
  }
});
