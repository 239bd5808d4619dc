/** Guards against a process that outlasts its end, or ends with a wrong code. */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const INDEX = fileURLToPath(new URL('../index.js', import.meta.url));
const SIGNALS = fileURLToPath(new URL('./process_signals.js', import.meta.url));
const LIMIT_MS = 1000;
/** Above the limit, for the start of the process and its end. */
const START_MS = 3000;

interface Case {
  /** Statements of the program, before and after `runProcess` is called. */
  readonly start?: string;
  readonly shutDown?: string;
  /** Sent once the program has written a line with this text. */
  readonly signalAt?: string;
  readonly closesOutputs?: boolean;
}

const NEVER = 'return new Promise(() => undefined);';
const FAULT = "setTimeout(() => { throw new Error('a fault'); }, 1);";

/** Runs a program; resolves to its exit code and its log lines. */
async function run({start = '', shutDown = '', ...options}: Case) {
  const program = `
    import {processSignals} from ${JSON.stringify(SIGNALS)};
    import {Logger, runProcess} from ${JSON.stringify(INDEX)};
    const log = Logger.create('info', {}, process.stdout);
    setInterval(() => undefined, 1000);
    process.exit(await runProcess({
      log,
      signals: processSignals,
      stopLimitMs: ${LIMIT_MS},
      faultLimitMs: ${LIMIT_MS},
      start: async stopSignal => {
        ${start}
        setTimeout(() => log.info('running'), 5);
        return {shutDown: async () => { ${shutDown} }};
      },
    }));
  `;
  const beganAtMs = performance.now();
  const args = ['--input-type=module', '-e', program];
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  let isSignalled = false;
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
    const {signalAt} = options;
    if (isSignalled || signalAt === undefined) return;
    if (!output.includes(`"event":"${signalAt}"`)) return;
    isSignalled = true;
    child.kill('SIGTERM');
  });
  if (options.closesOutputs) {
    child.stdout.destroy();
    child.stderr.destroy();
  }
  const [code, signal] = (await once(child, 'close')) as [
    number | null,
    NodeJS.Signals | null,
  ];
  const elapsedMs = performance.now() - beganAtMs;
  assert.equal(signal, null);
  assert.ok(elapsedMs < LIMIT_MS + START_MS, `ended after ${elapsedMs} ms`);
  return {code, output};
}

test('a fault during the start is logged and ends the process with code 1', async () => {
  const {code, output} = await run({start: FAULT + NEVER});
  assert.equal(code, 1);
  assert.match(output, /"event":"process fault".*a fault/);
});

test('a fault that is no error ends the process with code 1', async () => {
  const start = 'setTimeout(() => { throw null; }, 1);';
  const {code, output} = await run({start});
  assert.equal(code, 1);
  assert.match(output, /"event":"process fault"/);
  assert.match(output, /"reason":"fault","code":1/);
});

test('a shutdown that hangs after a fault ends with code 1 in time', async () => {
  const {code, output} = await run({start: FAULT, shutDown: NEVER});
  assert.equal(code, 1);
  assert.match(output, /"event":"shutdown unfinished"/);
});

test('a shutdown that fails after a fault ends with code 1', async () => {
  const shutDown = "throw new Error('stuck');";
  const {code, output} = await run({start: FAULT, shutDown});
  assert.equal(code, 1);
  assert.match(output, /"event":"shutdown failed".*stuck/);
});

test('a shutdown that fails at SIGTERM ends with code 1 and a log line', async () => {
  const shutDown = "throw new Error('stuck');";
  const {code, output} = await run({shutDown, signalAt: 'running'});
  assert.equal(code, 1);
  assert.match(output, /"event":"shutdown failed".*stuck/);
  assert.doesNotMatch(output, /process fault/);
});

test('a shutdown that hangs at SIGTERM ends in time', async () => {
  const {code, output} = await run({shutDown: NEVER, signalAt: 'running'});
  assert.equal(code, 1);
  assert.match(output, /"event":"shutdown unfinished"/);
});

test('a start that fails is logged with its cause', async () => {
  const start =
    "throw Object.assign(new Error('taken'), {code: 'EADDRINUSE'});";
  const {code, output} = await run({start});
  assert.equal(code, 1);
  assert.match(output, /"event":"start failed".*"code":"EADDRINUSE"/);
});

test('a start that fails has code 1 also if no output can be written', async () => {
  const start = "throw new Error('taken');";
  const {code} = await run({start, closesOutputs: true});
  assert.equal(code, 1);
});

test('a start that is given up at SIGTERM ends with code 0', async () => {
  const start = `await new Promise((resolve, reject) => {
    stopSignal.addEventListener('abort', () => reject(new Error('given up')));
  });`;
  const {code, output} = await run({start, signalAt: 'process started'});
  assert.equal(code, 0);
  assert.doesNotMatch(output, /start failed/);
  assert.match(output, /"event":"process ends","reason":"SIGTERM","code":0/);
});

test('a process says at its start who it is and at its end why it ends', async () => {
  const {code, output} = await run({signalAt: 'running'});
  assert.equal(code, 0);
  assert.match(output, /"event":"process started","pid":\d+,"node":"v/);
  assert.match(output, /"reason":"SIGTERM","code":0,"drainedMs":\d+/);
});
