import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {stringify} from 'smol-toml';
import {readStream} from './lib/caller_client.js';
import {Fleet} from './lib/fleet.js';
import {callModel, callPlain} from './lib/sample_calls.js';
import {SAMPLE_CONFIG, SAMPLE_SERVICES} from './lib/sample_config.js';
import {runTool} from './lib/tool.js';

/** The part of a router's status page that the demo reads. */
interface RouterStatus {
  readonly cells: readonly {readonly targets: readonly unknown[]}[];
}

const STATUS_OK = 200;
/** Exit codes of the operators' tool. */
const EXIT_CODE = {ok: 0, rejected: 3} as const;

function print(line: string): void {
  console.log(`demo: ${line}`);
}

/** Steps that did not do what they show. */
const failedSteps: string[] = [];

/** Prints what a step did; the demo fails if it is not what it should show. */
function printStep(line: string, isAsShown: boolean): void {
  print(isAsShown ? line : `${line} [FAILED]`);
  if (!isAsShown) failedSteps.push(line);
}

/** Runs the operators' tool and prints its output in one line. */
async function toolStep(
  name: string,
  args: readonly string[],
  expectedExitCode: number = EXIT_CODE.ok
): Promise<void> {
  const {output, exitCode} = await runTool(args);
  const line = output.split('\n').join(' | ');
  printStep(
    `${name}: ${line} (exit ${exitCode})`,
    exitCode === expectedExitCode
  );
}

/** Waits until every router knows a target of each service. */
async function waitForTargets(fleet: Fleet): Promise<void> {
  await fleet.waitUntil('all routers know all targets', async () => {
    for (const router of fleet.routers) {
      const status = (await router.status()) as RouterStatus | undefined;
      const cells = status?.cells ?? [];
      const known = cells.filter(({targets}) => targets.length > 0);
      if (known.length < SAMPLE_SERVICES.length) return false;
    }
    return true;
  });
}

async function streamModelCall(fleet: Fleet): Promise<void> {
  const response = await callModel(fleet, 0, {
    customer: 'kpone',
    model: 'nest-llm',
    prompt: 'Nest 12 brackets on one plate. out=24',
    maxTokens: 64,
    tag: 'demo-call',
  });
  const stream = readStream(response.body);
  printStep(
    `streamed call: status ${response.status}, ${stream.tokens} tokens in ` +
      `${response.chunkTimesMs.length} chunks, complete: ${stream.done}`,
    response.status === STATUS_OK && stream.done
  );
}

/** Sends one booking through two routers; the second only replays it. */
async function bookTwice(fleet: Fleet): Promise<void> {
  for (const index of [0, 1]) {
    const response = await callPlain(fleet, index, {
      customer: 'kpone',
      path: 'floor-app/offcuts/book',
      method: 'POST',
      body: '{"offcut": 17}',
      key: 'offcut-17',
    });
    const replayed = response.headers['idempotency-replayed'] === 'true';
    printStep(
      `booking through ${fleet.router(index).id}: status ${response.status}, ` +
        `replayed: ${replayed}, ${response.body}`,
      response.status === STATUS_OK && replayed === index > 0
    );
    await fleet.waitUntil('the response is on the log', async () => {
      const read = await fleet.logClient().read('claims', 0, 0);
      return read.ok && read.value.records.length >= 2;
    });
  }
  const runs = fleet.runCount('offcut-17');
  printStep(`runs of the booking at the target: ${runs}`, runs === 1);
}

/** Publishes a change twice; the base of the second is out of date. */
async function publishChange(fleet: Fleet, settings: string): Promise<void> {
  const file = path.join(fleet.settingsFolder, 'fleet.toml');
  const customers = {
    ...SAMPLE_CONFIG.customers,
    kpone: {...SAMPLE_CONFIG.customers.kpone, share: 3},
  };
  writeFileSync(file, stringify({...SAMPLE_CONFIG, customers}));
  await toolStep('check', ['check', file]);
  const {revision} = await fleet.configState();
  const base = String(revision);
  const common = ['--settings', settings];
  const publish = ['publish', file, '--base', base, ...common];
  await toolStep('publish', [...publish, '--wait']);
  await toolStep('publish with the old base', publish, EXIT_CODE.rejected);
}

async function drainOne(fleet: Fleet, settings: string): Promise<void> {
  const args = ['--settings', settings];
  await toolStep('drain', ['drain', 'entry-3', ...args]);
  const router = fleet.router(2);
  await fleet.waitUntil(
    'the drained instance has exited',
    () => !router.running
  );
  printStep(
    `entry-3 exited with code ${router.exitCode}`,
    router.exitCode === 0
  );
  await toolStep('status', ['status', ...args]);
}

// A short tour through a fleet of processes, with a line for each step.
const fleet = await Fleet.create({
  routers: 3,
  policy: 'dispatched',
  services: SAMPLE_SERVICES,
  config: SAMPLE_CONFIG,
});
try {
  await waitForTargets(fleet);
  print('three daemons, two engines and a plain service are up and ready');
  const instances = Object.fromEntries(
    fleet.routers.map(router => [router.id, router.adminUrl])
  );
  const settings = path.join(fleet.settingsFolder, 'tool.toml');
  writeFileSync(
    settings,
    stringify({log_url: fleet.log.server.url, instances})
  );
  await streamModelCall(fleet);
  await bookTwice(fleet);
  await publishChange(fleet, settings);
  await drainOne(fleet, settings);
} finally {
  await fleet.stop();
}
print(failedSteps.length === 0 ? 'done' : `${failedSteps.length} steps failed`);
process.exit(failedSteps.length === 0 ? 0 : 1);
