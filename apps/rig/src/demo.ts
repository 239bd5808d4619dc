import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {stringify} from 'smol-toml';
import {readStream} from './lib/caller_client.js';
import {Fleet} from './lib/fleet.js';
import {callModel, callPlain} from './lib/sample_calls.js';
import {SAMPLE_CONFIG, SAMPLE_SERVICES} from './lib/sample_config.js';
import {runTool} from './lib/tool.js';

function print(line: string): void {
  console.log(`demo: ${line}`);
}

/** Runs the operators' tool and returns its output in one line. */
async function tool(args: readonly string[]): Promise<string> {
  const {output, exitCode} = await runTool(args);
  return `${output.split('\n').join(' | ')} (exit ${exitCode})`;
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
  print(
    `streamed call: status ${response.status}, ${stream.tokens} tokens in ` +
      `${response.chunkTimesMs.length} chunks, complete: ${stream.done}`
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
    const replayed = response.headers['idempotency-replayed'] ?? 'false';
    print(
      `booking through ${fleet.router(index).id}: status ${response.status}, ` +
        `replayed: ${String(replayed)}, ${response.body}`
    );
    await fleet.waitUntil('the response is on the log', async () => {
      const read = await fleet.logClient().read('claims', 0, 0);
      return read.ok && read.value.records.length >= 2;
    });
  }
  print(`runs of the booking at the target: ${fleet.runCount('offcut-17')}`);
}

/** Publishes a change twice; the base of the second is out of date. */
async function publishChange(fleet: Fleet, settings: string): Promise<void> {
  const file = path.join(fleet.settingsFolder, 'fleet.toml');
  const customers = {
    ...SAMPLE_CONFIG.customers,
    kpone: {...SAMPLE_CONFIG.customers.kpone, share: 3},
  };
  writeFileSync(file, stringify({...SAMPLE_CONFIG, customers}));
  print(`check: ${await tool(['check', file])}`);
  const {revision} = await fleet.configState();
  const base = String(revision);
  const common = ['--settings', settings];
  const publish = ['publish', file, '--base', base, ...common];
  print(`publish: ${await tool([...publish, '--wait'])}`);
  print(`publish with the old base: ${await tool(publish)}`);
}

async function drainOne(fleet: Fleet, settings: string): Promise<void> {
  const args = ['--settings', settings];
  print(`drain: ${await tool(['drain', 'entry-3', ...args])}`);
  const router = fleet.router(2);
  await fleet.waitUntil(
    'the drained instance has exited',
    () => !router.running
  );
  print(`entry-3 exited with code ${router.exitCode}`);
  print(`status: ${await tool(['status', ...args])}`);
}

// A short tour through a fleet of processes, with a line for each step.
const fleet = await Fleet.create({
  routers: 3,
  policy: 'dispatched',
  services: SAMPLE_SERVICES,
  config: SAMPLE_CONFIG,
});
try {
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
print('done');
process.exit(0);
