/** Guards against a start that tries a port once, and errors nobody hears. */
import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {listenWhenFree} from './open_port.js';
import {sleep} from './sleep.js';

import type {AddressInfo} from 'node:net';

const HOST = '127.0.0.1';
const TAKEN_MS = 400;

/** Keeps the lines that were written. */
function recordingLog() {
  const lines: {event: string; fields: Readonly<Record<string, unknown>>}[] =
    [];
  const write = (event: string, fields: Readonly<Record<string, unknown>>) =>
    void lines.push({event, fields});
  return {lines, info: write, warn: write};
}

async function takePort(): Promise<{port: number; free: () => void}> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  return {port, free: () => server.close()};
}

test('a port that is in use for a while is opened, and both are logged', async () => {
  const {port, free} = await takePort();
  const log = recordingLog();
  const server = net.createServer();
  setTimeout(free, TAKEN_MS);
  const options = {host: HOST, port, purpose: 'callers', log};
  await listenWhenFree(server, options);
  server.close();
  const events = log.lines.map(({event}) => event);
  assert.deepEqual(events, ['port in use', 'port opened after a wait']);
  for (const {fields} of log.lines) {
    assert.equal(fields.host, HOST);
    assert.equal(fields.port, port);
  }
  assert.ok(Number(log.lines[0].fields.waitedMs) < TAKEN_MS / 2);
  assert.ok(Number(log.lines[1].fields.waitedMs) >= TAKEN_MS - 50);
});

test('an address that is not of this machine ends the wait at once', async () => {
  // Reserved for documentation, so no machine has it.
  const host = '192.0.2.1';
  const options = {host, port: 8080, purpose: 'metrics', log: recordingLog()};
  await assert.rejects(
    listenWhenFree(net.createServer(), options),
    /port_not_opened: cannot open 192\.0\.2\.1:8080 \(metrics\).*EADDRNOTAVAIL/
  );
});

test('a stop ends the wait for a port, which is not opened later', async () => {
  const {port, free} = await takePort();
  const stop = new AbortController();
  const server = net.createServer();
  const opened = listenWhenFree(server, {
    host: HOST,
    port,
    purpose: 'callers',
    log: recordingLog(),
    stopSignal: stop.signal,
  });
  setTimeout(() => stop.abort(), TAKEN_MS);
  await assert.rejects(opened, /start_stopped/);
  free();
  await sleep(TAKEN_MS);
  assert.equal(server.listening, false);
});

test('errors of a server that is open end nothing and are logged', async () => {
  const log = recordingLog();
  const server = net.createServer();
  const options = {host: HOST, port: 0, purpose: 'callers', log};
  await listenWhenFree(server, options);
  for (let i = 0; i < 3; i++) server.emit('error', new Error('accept EMFILE'));
  server.close();
  assert.deepEqual(log.lines, [
    {
      event: 'server error',
      fields: {purpose: 'callers', cause: 'accept EMFILE', count: 1},
    },
  ]);
});
