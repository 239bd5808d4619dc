import assert from 'node:assert/strict';
import net from 'node:net';
import {describe, test} from 'node:test';
import {connectTarget, probeTarget, sendRequest} from './target_connection.js';

import type {AddressInfo, Socket} from 'node:net';
import type {TargetAddress} from '../membership/target_directory.js';

const TIMEOUT_MS = 1000;
const REQUEST = {method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0)};

const INVALID: Readonly<Record<string, string>> = {
  'that switches to another protocol':
    'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n',
  'with status 000': 'HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok',
};

/** Runs a test with a target that answers each request by a script. */
async function withTarget(
  answer: (socket: Socket) => void,
  run: (address: TargetAddress) => Promise<void>
): Promise<void> {
  const server = net.createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  await run({id: 'target-1', host: '127.0.0.1', port});
  server.close();
}

async function send(address: TargetAddress) {
  const connected = await connectTarget(address, TIMEOUT_MS);
  assert.ok(connected.ok);
  const {signal} = new AbortController();
  return sendRequest(connected.value, REQUEST, TIMEOUT_MS, signal);
}

void describe('a target that sends a response', () => {
  for (const [name, text] of Object.entries(INVALID)) {
    test(`${name} has sent none`, () =>
      withTarget(
        socket => socket.write(text),
        async address => {
          assert.equal((await send(address)).ok, false);
          assert.equal(await probeTarget(address), false);
        }
      ));
  }

  test('without length and resets it has not sent it in full', () =>
    withTarget(
      socket =>
        socket.write('HTTP/1.1 200 OK\r\n\r\npart', () =>
          socket.resetAndDestroy()
        ),
      async address => {
        const sent = await send(address);
        assert.ok(sent.ok);
        const {res, isComplete} = sent.value;
        res.resume();
        await new Promise(resolve => {
          res.on('error', () => undefined);
          res.on('close', resolve);
        });
        assert.equal(isComplete(), false);
      }
    ));
});
