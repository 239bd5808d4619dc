import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {describe, test} from 'node:test';
import {receiveAll} from './receive_response.js';

import type {AddressInfo, Socket} from 'node:net';

const MAX_BYTES = 1000;
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** Sends a request to a server that answers it by a script. */
async function receive(script: (socket: Socket) => void, method = 'GET') {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => script(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const req = http.request({port, host: '127.0.0.1', method, agent: false});
  req.end();
  try {
    return (await receiveAll(req, MAX_BYTES)).body.toString();
  } finally {
    req.destroy();
    server.close();
  }
}

function reset(text: string) {
  return (socket: Socket) => {
    socket.write(text, () => socket.resetAndDestroy());
  };
}

const FAILING: Readonly<Record<string, (socket: Socket) => void>> = {
  'a switch to another protocol': socket =>
    socket.write('HTTP/1.1 101 A\r\nConnection: upgrade\r\nUpgrade: b\r\n\r\n'),
  'a close without a response': socket => socket.end(),
  'a reset without a response': socket => socket.resetAndDestroy(),
  'a status that is not final': socket =>
    socket.write('HTTP/1.1 101 A\r\nContent-Length: 0\r\n\r\n'),
  'a reset under a body without length': reset(`${OK}\r\npart`),
  'a reset in front of a body without length': reset(`${OK}\r\n`),
  'bytes between chunks': socket =>
    socket.write(`${OK}${CHUNKED}4\r\npartXY0\r\n\r\n`),
  'bytes between chunks, later': socket => {
    socket.write(`${OK}${CHUNKED}4\r\npart`);
    setTimeout(() => socket.write('XY0\r\n\r\n'), 50);
  },
  'a bare carriage return behind the last chunk': socket =>
    socket.write(`${OK}${CHUNKED}4\r\npart\r\n0\r\n\rX`),
  'a close under a body with a length': socket =>
    socket.end(`${OK}Content-Length: 9\r\n\r\npart`),
};

void describe('a request fails, and at once, by', () => {
  for (const [name, script] of Object.entries(FAILING)) {
    test(name, async () => {
      await assert.rejects(receive(script));
    });
  }
});

test('a body without length is whole where the server closes', async () => {
  assert.equal(await receive(s => s.end(`${OK}\r\nwhole`)), 'whole');
});

test('a response without a body needs no end of its connection', async () => {
  const noContent = 'HTTP/1.1 204 No Content\r\n\r\n';
  assert.equal(await receive(socket => socket.write(noContent)), '');
  assert.equal(await receive(s => s.write(`${OK}\r\n`), 'HEAD'), '');
});
