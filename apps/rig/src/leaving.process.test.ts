import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {Balancer} from './lib/balancer.js';
import {readStream} from './lib/caller_client.js';
import {Fleet} from './lib/fleet.js';
import {LoadRunner} from './lib/load/load_runner.js';
import {planCalls} from './lib/load/schedule.js';
import {siteConfig, siteServices, TEST_STEPS} from './lib/load/site.js';
import {checkResults, refusalOf} from './lib/promise_checks.js';
import {callModel} from './lib/sample_calls.js';

import type {CallResult} from './lib/load/load_runner.js';

const LIST_LAG_MS = 800;
/** Time within which a departure on the list must be in force. */
const NO_NEW_WORK_MS = 3000;
const TIMEOUT_MS = 60_000;
const ROUTERS = 3;
/** Shorter than the responses in progress when the shutdown starts. */
const LAME_DUCK_MS = 400;
const LONG_TOKENS = 500;
const LONG_CALL = {
  customer: 'small-1',
  model: 'nest-llm',
  prompt: `a long plan out=${LONG_TOKENS}`,
  maxTokens: 512,
  tag: 'long-call',
};

/** Runs `work` on a fleet under the site's load; returns all results. */
async function runUnderLoad(
  seconds: number,
  seed: number,
  work: (fleet: Fleet) => Promise<void>
): Promise<{fleet: Fleet; results: readonly CallResult[]}> {
  const fleet = await Fleet.create({
    routers: ROUTERS,
    policy: 'dispatched',
    config: siteConfig(1),
    services: siteServices(4, 2, TEST_STEPS),
    listLagMs: LIST_LAG_MS,
    timing: {lame_duck_ms: LAME_DUCK_MS},
  });
  const balancer = Balancer.create(fleet);
  try {
    const load = LoadRunner.create(fleet, TIMEOUT_MS);
    const calls = planCalls({seconds, seed, scale: 0.25, routers: ROUTERS});
    const sent = load.send(calls);
    await work(fleet);
    await sent;
    await load.finish();
    return {fleet, results: load.results};
  } finally {
    balancer.stop();
    await fleet.stop();
  }
}

/** Checks that every call got a complete response or a `not_run` refusal. */
function assertNoCallCutOff(
  fleet: Fleet,
  results: readonly CallResult[]
): void {
  assert.deepEqual(
    checkResults(results, key => fleet.runCount(key)),
    []
  );
  for (const {call, response} of results) {
    if (response.status === 200 && response.complete) continue;
    const ran = refusalOf(response)?.ran;
    assert.equal(
      ran,
      'not_run',
      `${call.id}: ${response.failure} ${response.body}`
    );
  }
}

test('a leaving target gets no new requests, even if one router cannot read the list', async () => {
  let listedLeavingAtMs = Infinity;
  const {fleet, results} = await runUnderLoad(9, 11, async fleet => {
    await sleep(2000);
    fleet.list.server.faults = {
      ...fleet.list.server.faults,
      cut: [fleet.hostOf(0)],
    };
    fleet.listTarget(fleet.target('nest-llm-1'), 'leaving');
    fleet.listTarget(fleet.target('floor-app-1'), 'leaving');
    // When the list shows the departures.
    listedLeavingAtMs = performance.now() + LIST_LAG_MS;
  });
  const late = fleet.runs.filter(
    ({target, atMs}) =>
      ['nest-llm-1', 'floor-app-1'].includes(target) &&
      atMs > listedLeavingAtMs + NO_NEW_WORK_MS
  );
  assert.deepEqual(late, []);
  assertNoCallCutOff(fleet, results);
});

test('a shutdown under load breaks off no request', async () => {
  const {fleet, results} = await runUnderLoad(6, 12, async fleet => {
    await sleep(2000);
    const long = callModel(fleet, 0, LONG_CALL);
    await fleet.waitUntil(
      'the long call runs',
      () => fleet.runCount(LONG_CALL.tag) === 1
    );
    await fleet.router(0).terminate();
    assert.equal(fleet.router(0).exitCode, 0);
    const stream = readStream((await long).body);
    assert.ok(
      stream.done,
      'a stream that outlasts the lame duck period must be complete'
    );
    assert.equal(stream.tokens, LONG_TOKENS);
  });
  assertNoCallCutOff(fleet, results);
});

test('replacing every router in turn under load breaks off no request', async () => {
  const {fleet, results} = await runUnderLoad(14, 13, async fleet => {
    for (const index of fleet.routers.keys()) {
      fleet.listRouter(index, 'leaving');
      await fleet.router(index).terminate();
      assert.equal(fleet.router(index).exitCode, 0);
      await fleet.restart(index);
    }
  });
  assertNoCallCutOff(fleet, results);
});
