/** Guards against a connection whose waiting requests take unbounded memory. */
import assert from 'node:assert/strict';
import http from 'node:http';
import net from 'node:net';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {systemClock} from '@applebend/utils';
import {CallerConnection} from './caller_connection.js';
import {MAX_HEADER_LINES} from './check_head.js';
import {RAW_HEADER_BYTES, WaitingRequests} from './waiting_requests.js';

import type {AddressInfo} from 'node:net';
import type {CallerConnectionDeps} from './caller_connection.js';

const REQUEST = `GET / HTTP/1.1\r\nHost: a\r\nA: ${'a'.repeat(970)}\r\n\r\n`;
/** They take far less than the memory that closes a connection. */
const REQUESTS = 4000;
const MAX_WAITING = 64;
const SEND_MS = 1000;
/** What Node reads from a connection at once. */
const READ_BYTES = 64 * 1024;
/** The read that brings the last request that may wait can bring more. */
const MAX_PARSED = MAX_WAITING + Math.ceil(READ_BYTES / REQUEST.length) + 1;

function dependencies(waiting: WaitingRequests): CallerConnectionDeps {
  return {
    clock: systemClock,
    waiting,
    isOverloaded: () => false,
    // The first request is at a target and is never answered.
    serve: (_, connection) => connection.onPassOn(),
    onAnswered: () => undefined,
    onOverflow: () => undefined,
  };
}

/** Sends a text on one connection; returns what was done with it in a second. */
async function send(text: string) {
  const waiting = WaitingRequests.create();
  const deps = dependencies(waiting);
  let parsed = 0;
  const server = http.createServer((req, res) => {
    parsed += 1;
    const request = {req, res, arrivedAtMs: systemClock.monotonicMs()};
    CallerConnection.of(req.socket)?.onRequest(request);
  });
  server.on('connection', socket => CallerConnection.create(socket, deps));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  try {
    socket.write(text);
    await sleep(SEND_MS);
    const {count, heldBytes} = waiting;
    return {parsed, count, heldBytes, isClosed: socket.destroyed};
  } finally {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  }
}

test('a caller that sends on while its first request runs is not read on', async () => {
  const {parsed, count, isClosed} = await send(REQUEST.repeat(REQUESTS));
  assert.ok(parsed > MAX_WAITING, `${parsed} requests were parsed`);
  assert.ok(parsed <= MAX_PARSED, `${parsed} requests were parsed`);
  assert.equal(count, parsed - 1);
  assert.equal(isClosed, false);
});

test('the memory of a waiting head with many short lines is not counted by its text', async () => {
  const lines = 'a:1\r\n'.repeat(MAX_HEADER_LINES - 1);
  const {count, heldBytes} = await send(
    `GET / HTTP/1.1\r\nHost: a\r\n${lines}\r\n`.repeat(2)
  );
  assert.equal(count, 1);
  assert.ok(heldBytes >= 2 * MAX_HEADER_LINES * RAW_HEADER_BYTES);
});
