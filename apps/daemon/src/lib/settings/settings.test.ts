import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {loadSettings} from './settings.js';

const VALID_SETTINGS = `
instance = "entry-1"
failure_domain = "hall-a"
link_secret = "a secret that is long"

[listen]
caller = {port = 8080}
peer = {host = "127.0.0.1", port = 7070}
admin = {port = 9090}

[platform]
log_url = "http://127.0.0.1:7100"
list_url = "http://127.0.0.1:7200"
`;

function load(text: string) {
  const folder = mkdtempSync(path.join(tmpdir(), 'applebend-settings-'));
  const file = path.join(folder, 'entry.toml');
  try {
    writeFileSync(file, text);
    return loadSettings(file);
  } finally {
    rmSync(folder, {recursive: true});
  }
}

test('missing settings get their defaults', () => {
  const settings = load(VALID_SETTINGS);
  assert.ok(settings.ok);
  assert.equal(settings.value.policy, 'dispatched');
  assert.equal(settings.value.timing.heartbeat_ms, 500);
  assert.equal(settings.value.listen.caller.host, '127.0.0.1');
});

test('each invalid setting is reported with file, key and reason', () => {
  const text = VALID_SETTINGS.replace('8080', '99999')
    .replace('a secret that is long', 'short')
    .replace('failure_domain = "hall-a"', 'colour = "green"');
  const settings = load(text);
  assert.ok(!settings.ok);
  const reported = settings.err.issues.join('\n');
  assert.match(reported, /entry\.toml: failure_domain: /);
  assert.match(reported, /entry\.toml: link_secret: /);
  assert.match(reported, /entry\.toml: listen\.caller\.port: /);
  assert.match(reported, /colour/);
});

test('a missing or malformed settings file is reported', () => {
  const broken = load('instance = ');
  assert.ok(!broken.ok);
  assert.equal(broken.err.kind, 'settings_invalid');
  assert.equal(loadSettings('/nowhere/entry.toml').ok, false);
});
