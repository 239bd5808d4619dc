/** Guards against a process that ends since nobody takes its log lines. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {test} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import type {Readable} from 'node:stream';

const INDEX = fileURLToPath(new URL('../index.js', import.meta.url));
/** The program ends by itself after this, with its own code. */
const RUN_MS = 1200;
const OWN_CODE = 7;
/** Counted from the first line, so that the program surely runs. */
const CLOSE_AFTER_MS = 300;

/** Logs a line every 20 ms, and the longest delay of a timer at the end. */
const PROGRAM = `
  import {Logger} from ${JSON.stringify(INDEX)};
  const log = Logger.create('info', {instance: 'a'}, process.stdout);
  const padding = 'x'.repeat(Number(process.argv[1] ?? 0));
  let lastMs = performance.now();
  let longestMs = 0;
  setInterval(() => {
    longestMs = Math.max(longestMs, performance.now() - lastMs);
    lastMs = performance.now();
    log.info('tick', {padding});
  }, 20);
  setTimeout(() => {
    process.exit(longestMs < 500 ? ${OWN_CODE} : 8);
  }, ${RUN_MS});
`;

type Output = 'stdout' | 'stderr';

function start(padding = 0) {
  const args = ['--input-type=module', '-e', PROGRAM, String(padding)];
  return spawn(process.execPath, args, {stdio: ['ignore', 'pipe', 'pipe']});
}

/** Runs the program and closes some of its outputs; resolves to what it did. */
async function runClosing(closed: readonly Output[], afterMs: number) {
  const child = start();
  let errors = '';
  child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  child.stdout.resume();
  const exited = once(child, 'exit') as Promise<[number | null]>;
  if (afterMs > 0) {
    await once(child.stdout, 'data');
    await sleep(afterMs);
  }
  for (const name of closed) (child[name] as Readable).destroy();
  const [code] = await exited;
  return {code, errors};
}

for (const afterMs of [0, CLOSE_AFTER_MS]) {
  const when = afterMs === 0 ? 'before its start' : 'while it runs';
  test(`a log pipe that is closed ${when} does not end the process`, async () => {
    const {code, errors} = await runClosing(['stdout'], afterMs);
    assert.equal(code, OWN_CODE);
    assert.equal(errors.split('"event":"log output failed"').length, 2);
    assert.match(errors, /"code":"EPIPE"/);
    assert.match(errors, /"event":"tick"/);
  });

  test(`both outputs closed ${when} do not end the process`, async () => {
    const {code} = await runClosing(['stdout', 'stderr'], afterMs);
    assert.equal(code, OWN_CODE);
  });
}

test('a reader that stops reading does not hold the event loop', async () => {
  const child = start(60_000);
  const [code] = (await once(child, 'exit')) as [number | null];
  child.stdout.destroy();
  child.stderr.destroy();
  assert.equal(code, OWN_CODE);
});

test('a log file on a full disk does not end the process', async () => {
  const full = openSync('/dev/full', 'w');
  const args = ['--input-type=module', '-e', PROGRAM];
  const stdio = ['ignore', full, 'pipe'] as const;
  const child = spawn(process.execPath, args, {stdio: [...stdio]});
  closeSync(full);
  let errors = '';
  child.stderr?.on('data', (chunk: Buffer) => (errors += chunk.toString()));
  const [code] = (await once(child, 'close')) as [number | null];
  assert.equal(code, OWN_CODE);
  assert.match(errors, /"code":"ENOSPC"/);
  assert.match(errors, /"event":"tick"/);
});
