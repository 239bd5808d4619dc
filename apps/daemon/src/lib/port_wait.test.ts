/** Guards against a daemon that gives up because a port is in use for a while. */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {Daemon} from './daemon.js';
import {loadSettings} from './settings/settings.js';

import type {AddressInfo} from 'node:net';
import type {Settings} from './settings/settings.js';

const HOST = '127.0.0.1';
const TAKEN_MS = 400;
const LISTENERS = ['caller', 'peer', 'admin'] as const;

type Occupants = Record<(typeof LISTENERS)[number], net.Server>;

async function occupy(): Promise<net.Server> {
  const server = net.createServer(socket => socket.destroy());
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return server;
}

/** A server at each port of the settings; nothing runs at the other addresses. */
async function takenSettings(): Promise<{
  settings: Settings;
  occupants: Occupants;
}> {
  const occupants = {
    caller: await occupy(),
    peer: await occupy(),
    admin: await occupy(),
  };
  const listen = LISTENERS.map(name => {
    const {port} = occupants[name].address() as AddressInfo;
    return `${name} = {port = ${port}}`;
  });
  const folder = mkdtempSync(path.join(tmpdir(), 'daemon-'));
  const file = path.join(folder, 'daemon.toml');
  writeFileSync(
    file,
    `instance = "a"
failure_domain = "hall-a"
log_level = "error"
link_secret = "0123456789abcdef"
listen = {${listen.join(', ')}}
platform = {log_url = "http://${HOST}:9", list_url = "http://${HOST}:9"}
timing = {lame_duck_ms = 0}
`
  );
  const loaded = loadSettings(file);
  rmSync(folder, {recursive: true});
  assert.ok(loaded.ok);
  return {settings: loaded.value, occupants};
}

for (const last of LISTENERS) {
  test(`a daemon starts after its ports were in use, the last of them: ${last}`, async () => {
    const {settings, occupants} = await takenSettings();
    for (const name of LISTENERS) if (name !== last) occupants[name].close();
    setTimeout(() => occupants[last].close(), TAKEN_MS);
    const daemon = await Daemon.create(settings);
    await daemon.shutDown();
    assert.equal(occupants[last].listening, false);
  });

  test(`a stop ends the start of a daemon that waits, and frees its ports: ${last}`, async () => {
    const {settings, occupants} = await takenSettings();
    for (const name of LISTENERS) if (name !== last) occupants[name].close();
    const stop = new AbortController();
    const started = Daemon.create(settings, stop.signal);
    setTimeout(() => stop.abort(), TAKEN_MS);
    await assert.rejects(started, /start_stopped/);
    occupants[last].close();
    await sleep(0);
    for (const name of LISTENERS) {
      const {host, port} = settings.listen[name];
      const server = net.createServer();
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, resolve);
      });
      server.close();
    }
  });
}
