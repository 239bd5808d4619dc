import {parseArgs} from 'node:util';
import {InstanceListService} from './lib/instance_list.js';
import {LogService} from './lib/log_service.js';
import {ModelEngine} from './lib/model_engine.js';
import {PlainService} from './lib/plain_service.js';

import type {ServerOptions, StandInServer} from './lib/stand_in_server.js';

const USAGE = 'usage: standins log|list|engine|plain --port N [--host H]';
const CRASH_EXIT_CODE = 70;

const {values, positionals} = parseArgs({
  allowPositionals: true,
  options: {
    host: {type: 'string', default: '127.0.0.1'},
    port: {type: 'string', default: '0'},
    seed: {type: 'string', default: '1'},
    'retention-ms': {type: 'string', default: '3600000'},
    'max-appends': {type: 'string', default: '300'},
    'lag-ms': {type: 'string', default: '1000'},
    'step-ms': {type: 'string', default: '20'},
    'step-per-request-ms': {type: 'string', default: '1'},
    'prefill-per-token-ms': {type: 'string', default: '0.2'},
    'max-batch': {type: 'string', default: '32'},
    'resume-grace-ms': {type: 'string', default: '0'},
    'work-ms': {type: 'string', default: '20'},
    help: {type: 'boolean', default: false},
  },
});

type Kind = 'log' | 'list' | 'engine' | 'plain';

const base: ServerOptions = {
  host: values.host,
  port: Number(values.port),
  seed: Number(values.seed),
};
const onCrash = () => process.exit(CRASH_EXIT_CODE);
const onRun = (run: string) => console.log(JSON.stringify({run}));

/** Creates the stand-in of each kind from the command-line options. */
const FACTORIES: Record<Kind, () => Promise<{server: StandInServer}>> = {
  log: () =>
    LogService.create({
      ...base,
      retentionMs: Number(values['retention-ms']),
      maxAppendsPerSecond: Number(values['max-appends']),
    }),
  list: () =>
    InstanceListService.create({...base, lagMs: Number(values['lag-ms'])}),
  engine: () =>
    ModelEngine.create({
      ...base,
      speed: {
        stepMs: Number(values['step-ms']),
        stepPerRequestMs: Number(values['step-per-request-ms']),
        prefillPerTokenMs: Number(values['prefill-per-token-ms']),
        maxBatch: Number(values['max-batch']),
      },
      reportLagMs: Number(values['lag-ms']),
      resumeGraceMs: Number(values['resume-grace-ms']),
      onCrash,
      onRun,
    }),
  plain: () =>
    PlainService.create({
      ...base,
      workMs: Number(values['work-ms']),
      onCrash,
      onRun,
    }),
};

const kind = positionals[0];
if (values.help || kind === undefined || !(kind in FACTORIES)) {
  console.log(USAGE);
  process.exit(values.help ? 0 : 2);
}
const {server} = await FACTORIES[kind as Kind]();
// The rig waits for this line before it uses the stand-in.
console.log(JSON.stringify({kind, url: server.url}));
