import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {PeerSocket} from './peer_socket.js';

test('an address that cannot be sent to does not keep messages from other peers', () => {
  const socket = PeerSocket.create(Logger.create(LOG_LEVEL.error, {}));
  socket.open({host: '127.0.0.1', port: 0});
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
