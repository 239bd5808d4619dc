import {parseArgs} from 'node:util';
import {createDaemonLog, Daemon} from './lib/daemon.js';
import {loadSettings} from './lib/settings/settings.js';
import {runProcess} from '@applebend/telemetry';

import type {ProcessSignals} from '@applebend/telemetry/process_signals';

const USAGE = `usage: applebendd --config FILE [--check-config]

  --config FILE    the settings of this process (TOML)
  --check-config   check the settings and exit
  --help           show this text

Exit codes: 0 ended well, 1 could not start, 2 usage or settings invalid.`;

const EXIT_USAGE = 2;
/** Open requests get this long after a fault, as their timeouts are not known. */
const FAULT_LIMIT_MS = 30_000;

const OPTIONS = {
  config: {type: 'string'},
  'check-config': {type: 'boolean', default: false},
  help: {type: 'boolean', default: false},
} as const;

/**
 * Runs `applebendd`, the daemon of each instance, until it is told to stop.
 * Returns the exit code.
 */
export async function runProgram(signals: ProcessSignals): Promise<number> {
  const {values} = parseArgs({options: OPTIONS});
  if (values.help) {
    console.log(USAGE);
    return 0;
  }
  if (values.config === undefined) {
    console.error(USAGE);
    return EXIT_USAGE;
  }
  const settings = loadSettings(values.config);
  if (!settings.ok) {
    console.error(settings.err.message);
    return EXIT_USAGE;
  }
  if (values['check-config']) {
    console.log(`${values.config}: settings are valid`);
    return 0;
  }
  const log = createDaemonLog(settings.value);
  return runProcess({
    log,
    signals,
    start: stopSignal => Daemon.create(settings.value, stopSignal, log),
    faultLimitMs: FAULT_LIMIT_MS,
  });
}
