import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {CONFIG_STREAM} from '@applebend/externals';
import {callPlain, runWithFleet} from './lib/sample_calls.js';
import {customerEntry, SAMPLE_CONFIG} from './lib/sample_config.js';

import type {Fleet} from './lib/fleet.js';

/** Time for an accepted change to be in force on all instances. */
const IN_FORCE_MS = 3000;

const NEW_SERVICES = Array.from({length: 6}, (_, i) => ({
  name: `service-${i + 1}`,
  kind: 'plain' as const,
  targets: 1,
  args: [],
}));

/** Returns the sample configuration with one more customer. */
function configWith(number: number) {
  const customers = {
    ...SAMPLE_CONFIG.customers,
    [`extra-${number}`]: customerEntry(`extra-${number}`, 'standard'),
  };
  return {...SAMPLE_CONFIG, customers};
}

async function revisionOf(fleet: Fleet, index: number): Promise<number> {
  const status = (await fleet.router(index).status()) as
    {revision: number} | undefined;
  return status?.revision ?? -1;
}

/** Returns whether all running routers have at least the given revision. */
async function allAtRevision(fleet: Fleet, revision: number): Promise<boolean> {
  for (const [index, router] of fleet.routers.entries()) {
    if (!router.running) continue;
    if ((await revisionOf(fleet, index)) < revision) return false;
  }
  return true;
}

test('an accepted change is in force on all instances within 3 s', () =>
  runWithFleet({services: []}, async fleet => {
    const times: number[] = [];
    for (let i = 0; i < 10; i++) {
      const startMs = performance.now();
      const revision = await fleet.publish(configWith(i));
      await fleet.waitUntil(
        'the change is in force everywhere',
        () => allAtRevision(fleet, revision),
        IN_FORCE_MS
      );
      times.push(performance.now() - startMs);
    }
    times.sort((a, b) => a - b);
    const worst = times[times.length - 1]?.toFixed(0);
    console.log(`in force: p50 ${times[5]?.toFixed(0)} ms, worst ${worst} ms`);
  }));

test('one of several concurrent changes is accepted and all instances apply it', () =>
  runWithFleet({services: []}, async fleet => {
    const base = await fleet.configState();
    await Promise.all(
      Array.from({length: 8}, (_, i) => fleet.publishFrom(base, configWith(i)))
    );
    const state = await fleet.configState();
    const accepted = state.outcomes.filter(
      outcome => outcome.accepted && outcome.offset >= base.nextOffset
    );
    assert.equal(accepted.length, 1);
    // The initial configuration and the eight changes.
    assert.equal(state.outcomes.length, 9);
    await fleet.waitUntil('all instances have the accepted revision', () =>
      allAtRevision(fleet, state.revision)
    );
    assert.equal(await revisionOf(fleet, 0), state.revision);
  }));

test('no instance reverts when it restarts, is isolated or cannot reach the log', () =>
  runWithFleet({services: []}, async fleet => {
    const revision = await fleet.publish(configWith(1));
    await fleet.waitUntil('the change is in force everywhere', () =>
      allAtRevision(fleet, revision)
    );
    fleet.log.server.faults = {...fleet.log.server.faults, down: true};
    await fleet.router(2).kill();
    await fleet.restart(2);
    assert.equal(
      await revisionOf(fleet, 2),
      revision,
      'a restarted router gets the revision from a peer'
    );
    fleet.links.isolate(1);
    await fleet.router(1).kill();
    fleet.router(1).start();
    await sleep(1500);
    assert.equal(
      await fleet.router(1).isReady(),
      false,
      'a router without a configuration must not be ready'
    );
    fleet.links.rejoin(1);
    await fleet.waitUntil('the router is ready again', () =>
      fleet.router(1).isReady()
    );
    assert.equal(await revisionOf(fleet, 1), revision);
    fleet.log.server.faults = {...fleet.log.server.faults, down: false};
    const next = await fleet.publish(configWith(2));
    await fleet.waitUntil('the change is in force everywhere', () =>
      allAtRevision(fleet, next)
    );
  }));

test('an instance that cannot reach the log follows its peers', () =>
  runWithFleet({services: []}, async fleet => {
    const cut = [fleet.hostOf(0)];
    fleet.log.server.faults = {...fleet.log.server.faults, cut};
    await sleep(200);
    const revision = await fleet.publish(configWith(1));
    await fleet.waitUntil(
      'the change is in force everywhere',
      () => allAtRevision(fleet, revision),
      IN_FORCE_MS
    );
  }));

test('the configuration outlives the retention of the log', () =>
  runWithFleet(
    {services: [], retentionMs: 10_000, timing: {snapshot_every_ms: 700}},
    async fleet => {
      const revision = await fleet.publish(configWith(1));
      await fleet.waitUntil('the change is in force everywhere', () =>
        allAtRevision(fleet, revision)
      );
      await sleep(12_000);
      const read = await fleet.logClient().read(CONFIG_STREAM, 0, 0);
      assert.ok(
        read.ok && read.value.earliest > revision,
        'the change should have expired from the log'
      );
      assert.equal((await fleet.configState()).revision, revision);
      await Promise.all(fleet.routers.map(router => router.kill()));
      for (const index of fleet.routers.keys()) await fleet.restart(index);
      assert.ok(await allAtRevision(fleet, revision));
    }
  ));

test('every router serves a new service, whichever router reads it first', () =>
  runWithFleet({services: NEW_SERVICES}, async fleet => {
    const services: Record<string, unknown> = {...SAMPLE_CONFIG.services};
    for (const {name} of NEW_SERVICES) {
      services[name] = {kind: 'plain', slots: 2};
      // Another router reads the change first and passes it on to this one.
      const unreachableFrom = [fleet.hostOf(0)];
      fleet.log.server.faults = {
        ...fleet.log.server.faults,
        cut: unreachableFrom,
      };
      const revision = await fleet.publish({...SAMPLE_CONFIG, services});
      await fleet.waitUntil('the change is in force everywhere', () =>
        allAtRevision(fleet, revision)
      );
      fleet.log.server.faults = {...fleet.log.server.faults, cut: []};
      for (const router of fleet.routers) {
        const index = fleet.routers.indexOf(router);
        const response = await callPlain(fleet, index, {
          customer: 'kpone',
          path: `${name}/stock`,
          method: 'GET',
          body: '',
        });
        assert.equal(response.status, 200, `${name} at ${router.id}`);
      }
    }
  }));
