/** Guards against a fault that cuts the answers of a process off. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const INDEX = fileURLToPath(new URL('../index.js', import.meta.url));
/** Time that the shutdown of the program takes. */
const SHUTDOWN_MS = 300;

/** Runs a program with a fault; resolves to its exit code and its output. */
async function runProgram(
  fault: string
): Promise<{code: number | null; output: string; elapsedMs: number}> {
  const program = `
    import {Logger, shutDownOnFault} from ${JSON.stringify(INDEX)};
    const shutDown = () => new Promise(resolve => setTimeout(() => {
      console.log('shut down');
      resolve();
    }, ${SHUTDOWN_MS}));
    shutDownOnFault(Logger.create('info', {}, process.stdout), shutDown, 5000);
    ${fault}
    setInterval(() => undefined, 1000);
  `;
  const beganAtMs = performance.now();
  const args = ['--input-type=module', '-e', program];
  const child = spawn(process.execPath, args, {stdio: 'pipe'});
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  const code = await new Promise<number | null>(resolve =>
    child.on('close', resolve)
  );
  return {code, output, elapsedMs: performance.now() - beganAtMs};
}

const FAULTS: Readonly<Record<string, string>> = {
  uncaughtException: "setTimeout(() => { throw new Error('a fault'); }, 1);",
  unhandledRejection: "void Promise.reject(new Error('a fault'));",
  repeated: "setInterval(() => { throw new Error('a fault'); }, 50);",
};

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`a process ends in the ordinary way after a fault: ${name}`, async () => {
    const {code, output, elapsedMs} = await runProgram(fault);
    assert.equal(code, 1);
    assert.match(output, /"event":"process fault"/);
    assert.match(output, /a fault/);
    assert.equal(output.split('shut down').length, 2);
    assert.ok(elapsedMs >= SHUTDOWN_MS);
  });
}
