/** Guards against a tool that fails since its reader, such as `head`, has left. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const TOOL = fileURLToPath(new URL('../bin/applebend.mjs', import.meta.url));
/** Far more than a pipe holds. */
const LINES = 10_000;

/** Writes a log in which every line names request `r1`. */
function writeLog(dir: string): string {
  const file = path.join(dir, 'a.log');
  const pad = 'x'.repeat(200);
  const fields = {level: 'info', event: 'refused', requestId: 'r1', pad};
  const time = new Date(0).toISOString();
  const line = `${JSON.stringify({time, instance: 'a', ...fields})}\n`;
  writeFileSync(file, line.repeat(LINES));
  return file;
}

for (const when of ['at once', 'after its first bytes']) {
  test(`a reader that leaves ${when} ends the tool quietly`, async t => {
    const dir = mkdtempSync(path.join(os.tmpdir(), 'tool-'));
    t.after(() => rmSync(dir, {recursive: true}));
    const args = [TOOL, 'explain', 'r1', writeLog(dir)];
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let errors = '';
    child.stderr.on('data', (chunk: Buffer) => (errors += chunk.toString()));
    if (when === 'at once') child.stdout.destroy();
    else child.stdout.once('data', () => child.stdout.destroy());
    const [code, signal] = await once(child, 'close');
    assert.deepEqual([code, signal, errors], [0, null, '']);
  });
}

test('a message that cannot be printed still gives its exit code', async () => {
  const child = spawn(process.execPath, [TOOL, 'no-such-command'], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  child.stderr.destroy();
  const [code] = await once(child, 'close');
  assert.equal(code, 2);
});
