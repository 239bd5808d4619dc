/**
 * Runs the built tests whose paths contain one of the arguments, or all tests:
 * in-process tests in parallel, then tests that start processes one at a time.
 * Failures of tests in KNOWN-RED.txt are printed and tolerated; any other
 * failure, or a run in which no test passed, makes the exit code 1.
 */
import {existsSync, readFileSync} from 'node:fs';
import {readdir} from 'node:fs/promises';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import path from 'node:path';

const ROOT = path.resolve(import.meta.dirname ?? '.', '..');
const PROCESS_TEST = '.process.test.js';
const TEST_TIMEOUT_MS = 90_000;

/** Reads the names of the tests that fail for a known fault. */
function readKnownRedTests() {
  const file = path.join(ROOT, 'KNOWN-RED.txt');
  if (!existsSync(file)) return new Set();
  const lines = readFileSync(file, 'utf8').split('\n');
  return new Set(
    lines.filter(l => l.startsWith('test: ')).map(l => l.slice(6).trim())
  );
}

/** Finds built tests; leaves out those whose source no longer exists. */
async function findTests() {
  const found = [];
  for (const group of ['packages', 'apps', '.']) {
    const names =
      group === '.' ? ['platform'] : await readdir(path.join(ROOT, group));
    for (const name of names) {
      const dist = path.join(ROOT, group, name, 'dist');
      if (!existsSync(dist)) continue;
      const files = await readdir(dist, {recursive: true});
      for (const file of files) {
        const source = path
          .join(ROOT, group, name, 'src', file)
          .replace(/\.js$/, '.ts');
        if (!file.endsWith('.test.js') || !existsSync(source)) continue;
        found.push(path.join(dist, file));
      }
    }
  }
  return found.sort();
}

const knownRedTests = readKnownRedTests();
const nameFilters = process.argv.slice(2);
const counts = {passed: 0, failed: 0, knownRed: 0};

const filesWithFailure = new Set();

/** Counts a failure outside of the tests of a file, such as an unhandled error. */
function onFileFailure(file) {
  if (filesWithFailure.has(path.basename(file))) return;
  console.log(`FAILED outside of its tests: ${file}`);
  counts.failed += 1;
}

async function runAll(files, concurrency) {
  if (files.length === 0) return;
  const stream = run({files, concurrency, timeout: TEST_TIMEOUT_MS});
  stream.on('test:pass', data => {
    if (data.details?.type !== 'suite') counts.passed += 1;
  });
  stream.on('test:fail', data => {
    if (data.details?.type === 'suite') return;
    if (data.name.endsWith('.test.js')) {
      onFileFailure(data.name);
      return;
    }
    filesWithFailure.add(path.basename(data.file ?? ''));
    if (knownRedTests.has(data.name)) {
      counts.knownRed += 1;
      console.log(`KNOWN RED: ${data.name}`);
    } else {
      counts.failed += 1;
    }
  });
  await new Promise(resolve => {
    const report = stream.compose(spec);
    report.on('end', resolve);
    report.pipe(process.stdout, {end: false});
  });
}

const files = (await findTests()).filter(
  file =>
    nameFilters.length === 0 ||
    nameFilters.some(filter => file.includes(filter))
);
await runAll(
  files.filter(file => !file.endsWith(PROCESS_TEST)),
  5
);
await runAll(
  files.filter(file => file.endsWith(PROCESS_TEST)),
  1
);
console.log(`known red: ${counts.knownRed}`);
console.log(`${counts.passed} passed, ${counts.failed} failed`);
process.exit(counts.failed === 0 && counts.passed > 0 ? 0 : 1);
