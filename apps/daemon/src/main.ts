import {parseArgs} from 'node:util';
import {Daemon} from './lib/daemon.js';
import {loadSettings} from './lib/settings/settings.js';
import {shutDownOnFault} from '@applebend/telemetry';
import {errorMessage} from '@applebend/utils';

const USAGE = `usage: applebendd --config FILE [--check-config]

  --config FILE    the settings of this process (TOML)
  --check-config   check the settings and exit
  --help           show this text

Exit codes: 0 ended well, 1 could not start, 2 usage or settings invalid.`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const OPTIONS = {
  config: {type: 'string'},
  'check-config': {type: 'boolean', default: false},
  help: {type: 'boolean', default: false},
} as const;

/**
 * Runs `applebendd`, the daemon of each instance, until it is told to stop.
 * Returns the exit code.
 */
async function main(): Promise<number> {
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
  const daemon = await Daemon.create(settings.value);
  shutDownOnFault(daemon.log, () => daemon.shutDown());
  await new Promise<void>(resolve => {
    const stop = () => void daemon.shutDown().then(resolve);
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
    daemon.onStopped(resolve);
  });
  return 0;
}

try {
  process.exit(await main());
} catch (err) {
  console.error(errorMessage(err));
  process.exit(EXIT_FAILED);
}
