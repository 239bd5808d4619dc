/**
 * Runs all fuzz tests: `npm run fuzz -- --runs N --seed S`. Without a seed, one
 * is taken from the time; it is printed, so that a failure can be repeated.
 */
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import {parseArgs} from 'node:util';

const {values} = parseArgs({
  options: {
    runs: {type: 'string', default: '2000'},
    seed: {type: 'string', default: String(Date.now() % 1_000_000)},
  },
});
console.log(`fuzz: runs ${values.runs}, seed ${values.seed}`);
const script = path.join(import.meta.dirname ?? '.', 'run_tests.mjs');
const result = spawnSync(process.execPath, [script, 'fuzz'], {
  stdio: 'inherit',
  env: {
    ...process.env,
    APPLEBEND_FUZZ_RUNS: values.runs,
    APPLEBEND_FUZZ_SEED: values.seed,
  },
});
process.exit(result.status ?? 1);
