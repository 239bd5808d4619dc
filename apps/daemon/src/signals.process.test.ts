/** Guards against a signal, or a closed log pipe, that ends the daemon. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {sleep} from '@applebend/utils';
import {stringify} from 'smol-toml';

import type {AddressInfo} from 'node:net';
import type {TestContext} from 'node:test';

const MAIN = fileURLToPath(new URL('./main.js', import.meta.url));
const LAME_DUCK_MS = 1000;
const START_TIMEOUT_MS = 10_000;
/** An address for documentation, which no interface has. */
const UNAVAILABLE_HOST = '192.0.2.1';

/** Opens a server at a free port of the loopback interface. */
async function listen(t: TestContext): Promise<net.Server> {
  const server = net.createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return server;
}

function portOf(server: net.Server): number {
  return (server.address() as AddressInfo).port;
}

async function freePort(t: TestContext): Promise<number> {
  const server = await listen(t);
  const port = portOf(server);
  server.close();
  await once(server, 'close');
  return port;
}

/** Starts a daemon whose log and instance list cannot be reached. */
async function startDaemon(t: TestContext, callerHost = '127.0.0.1') {
  const host = '127.0.0.1';
  const ports = [await freePort(t), await freePort(t), await freePort(t)];
  const [caller, peer, admin] = ports;
  const dir = mkdtempSync(path.join(os.tmpdir(), 'daemon-'));
  const file = path.join(dir, 'settings.toml');
  const settings = {
    instance: 'a',
    failure_domain: 'hall-a',
    link_secret: 'a secret for the links of a test',
    listen: {
      caller: {host: callerHost, port: caller},
      peer: {host, port: peer},
      admin: {host, port: admin},
    },
    platform: {log_url: `http://${host}:1`, list_url: `http://${host}:1`},
    timing: {lame_duck_ms: LAME_DUCK_MS},
  };
  writeFileSync(file, stringify(settings));
  const child = spawn(process.execPath, [MAIN, '--config', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  const collect = (chunk: Buffer) => (output += chunk.toString());
  child.stdout.on('data', collect);
  child.stderr.on('data', collect);
  const exited = once(child, 'exit');
  t.after(async () => {
    child.kill('SIGKILL');
    await exited;
    rmSync(dir, {recursive: true});
  });
  const whenLogged = async (event: string) => {
    const untilMs = performance.now() + START_TIMEOUT_MS;
    while (!output.includes(`"event":"${event}"`)) {
      assert.ok(performance.now() < untilMs, output);
      await sleep(10);
    }
  };
  const end = async () => {
    const [code, signal] = await exited;
    child.stdout.destroy();
    child.stderr.destroy();
    return {code, signal, output};
  };
  return {child, whenLogged, end};
}

test('repeated stop signals do not cut the drain of the daemon', async t => {
  const {child, whenLogged, end} = await startDaemon(t);
  await whenLogged('started');
  const signalledAtMs = performance.now();
  for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
    child.kill(signal);
    await sleep(100);
  }
  const {code, signal, output} = await end();
  assert.deepEqual([code, signal], [0, null]);
  assert.ok(performance.now() - signalledAtMs >= LAME_DUCK_MS);
  assert.match(output, /"event":"process ends".*"reason":"SIGTERM"/);
});

test('SIGHUP, or an error output that is closed, does not end the daemon', async t => {
  const {child, whenLogged, end} = await startDaemon(t);
  await whenLogged('started');
  child.kill('SIGHUP');
  child.stderr.destroy();
  // The daemon logs nothing by itself here, so further signals make it log.
  for (let i = 0; i < 3; i++) {
    child.kill('SIGHUP');
    await sleep(100);
  }
  await whenLogged('log output failed');
  child.kill('SIGTERM');
  const {code, signal} = await end();
  assert.deepEqual([code, signal], [0, null]);
});

test('a caller address that cannot be opened gives a structured line and code 1', async t => {
  const {end} = await startDaemon(t, UNAVAILABLE_HOST);
  const {code, output} = await end();
  assert.equal(code, 1);
  assert.match(output, /"event":"start failed".*EADDRNOTAVAIL/);
});
