import assert from 'node:assert/strict';
import net from 'node:net';
import {describe, test} from 'node:test';
import {requestJson} from './http_json.js';

import type {AddressInfo, Socket} from 'node:net';

const TIMEOUT_MS = 1000;

const ANSWERS: Readonly<Record<string, (socket: Socket) => void>> = {
  'that switches to another protocol': socket =>
    socket.end(
      'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n'
    ),
  'with status 000': socket =>
    socket.end('HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}'),
  'that is reset before its body, which has no length': socket =>
    socket.write('HTTP/1.1 200 OK\r\n\r\n', () => socket.resetAndDestroy()),
};

void describe('an answer is an error of the transport', () => {
  for (const [name, answer] of Object.entries(ANSWERS)) {
    test(name, async () => {
      const server = net.createServer(socket => {
        socket.on('error', () => undefined);
        socket.once('data', () => answer(socket));
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve)
      );
      const {port} = server.address() as AddressInfo;
      const url = `http://127.0.0.1:${port}/`;
      const request = {method: 'GET', url, timeoutMs: TIMEOUT_MS};
      const result = await requestJson(request);
      assert.equal(result.ok, false);
      server.close();
    });
  }
});
