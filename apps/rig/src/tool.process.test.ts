import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {test} from 'node:test';
import {stringify} from 'smol-toml';
import {runWithFleet} from './lib/sample_calls.js';
import {customerEntry, SAMPLE_CONFIG} from './lib/sample_config.js';
import {runTool} from './lib/tool.js';

import type {Fleet} from './lib/fleet.js';

/** Writes the tool's settings file and returns the options that select it. */
function settingsOf(fleet: Fleet): string[] {
  const file = path.join(fleet.settingsFolder, 'tool.toml');
  const instances = Object.fromEntries(
    fleet.routers.map(router => [router.id, router.adminUrl])
  );
  writeFileSync(file, stringify({log_url: fleet.log.server.url, instances}));
  return ['--settings', file];
}

function writeConfig(fleet: Fleet, name: string, config: unknown): string {
  const file = path.join(fleet.settingsFolder, name);
  writeFileSync(file, stringify(config));
  return file;
}

/** Returns the sample configuration with one more customer. */
function configWith(customer: string) {
  const entry = customerEntry(customer, 'standard');
  const customers = {...SAMPLE_CONFIG.customers, [customer]: entry};
  return {...SAMPLE_CONFIG, customers};
}

test('the tool checks, publishes, shows and drains with the expected exit codes', () =>
  runWithFleet({services: []}, async fleet => {
    const settings = settingsOf(fleet);
    const good = writeConfig(fleet, 'good.toml', configWith('extra-1'));
    const bad = writeConfig(fleet, 'bad.toml', {
      ...SAMPLE_CONFIG,
      customers: {kpone: {template: 'none'}},
      unknown: 1,
    });
    assert.equal((await runTool([])).exitCode, 2);
    assert.equal((await runTool(['--help'])).exitCode, 0);
    assert.equal((await runTool(['publish', '--help'])).exitCode, 0);
    assert.equal((await runTool(['check', good])).exitCode, 0);
    const invalid = await runTool(['check', bad]);
    assert.equal(invalid.exitCode, 2);
    assert.match(invalid.output, /bad\.toml: .*unknown/);

    const publish = ['publish', good, ...settings];
    assert.equal(
      (await runTool(publish)).exitCode,
      2,
      'publish without --base must be refused'
    );
    const base = String((await fleet.configState()).revision);
    const published = await runTool([
      ...publish,
      '--base',
      base,
      '--wait',
      '--json',
    ]);
    assert.equal(published.exitCode, 0, published.output);
    const {revision} = JSON.parse(published.output) as {revision: number};
    assert.equal(revision, (await fleet.configState()).revision);
    const stale = await runTool([...publish, '--base', base]);
    assert.equal(stale.exitCode, 3, stale.output);

    const shown = await runTool(['get', '--json', ...settings]);
    assert.match(shown.output, /extra-1/);
    const history = await runTool(['history', ...settings]);
    assert.match(
      history.output,
      new RegExp(`accepted as revision ${revision}`)
    );
    const status = await runTool(['status', ...settings]);
    assert.match(status.output, /entry-1 {2}hall-a {2}ready/);
    assert.equal((await runTool(['drain', 'nobody', ...settings])).exitCode, 2);
    assert.equal(
      (await runTool(['drain', 'entry-3', ...settings])).exitCode,
      0
    );
    await fleet.waitUntil(
      'the drained router has exited',
      () => !fleet.router(2).running
    );
    assert.equal(fleet.router(2).exitCode, 0);
  }));

test('publish resolves a lost response by the change id, without sending it again', () =>
  runWithFleet({services: []}, async fleet => {
    const settings = settingsOf(fleet);
    const {server} = fleet.log;
    const base = await fleet.configState();
    const file = writeConfig(fleet, 'lost.toml', configWith('lost-1'));
    const appends = fleet.log.appends;
    server.faults = {...server.faults, loseAnswers: 0.7};
    const args = [
      'publish',
      file,
      '--base',
      String(base.revision),
      ...settings,
    ];
    const published = await runTool(args);
    server.faults = {...server.faults, loseAnswers: 0};
    const state = await fleet.configState();
    const outcomes = state.outcomes.filter(
      outcome => outcome.offset >= base.nextOffset
    );
    assert.ok(outcomes.length <= 1, 'the change must be appended at most once');
    assert.ok(fleet.log.appends - appends <= 1);
    const accepted = outcomes.some(outcome => outcome.accepted);
    // Exit code 1: the log could not be reached; 4: the outcome is unknown.
    if (published.exitCode === 0)
      assert.ok(accepted, 'exit code 0 means that the change was accepted');
    else assert.ok([1, 4].includes(published.exitCode ?? -1), published.output);

    server.faults = {...server.faults, down: true};
    const down = await runTool(args);
    assert.equal(down.exitCode, 1, down.output);
  }));
