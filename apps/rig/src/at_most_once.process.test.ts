import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {checkCall, refusalOf} from './lib/promise_checks.js';
import {callPlain, runWithFleet} from './lib/sample_calls.js';

import type {CallerResponse} from './lib/caller_client.js';
import type {Fleet} from './lib/fleet.js';

/** Errors that a request may get if it did not win the claim of its key. */
const LOSER_TYPES = new Set([
  'claim_in_progress',
  'claim_outcome_unknown',
  'claim_log_unavailable',
]);

/** Sends a non-idempotent request with an idempotency key. */
function book(
  fleet: Fleet,
  router: number,
  key: string
): Promise<CallerResponse> {
  return callPlain(fleet, router, {
    customer: 'kpone',
    path: 'floor-app/offcuts/book',
    method: 'POST',
    body: JSON.stringify({offcut: key}),
    key,
  });
}

/** Checks that no key ran twice and that no response contradicts its runs. */
function assertAtMostOnce(
  fleet: Fleet,
  responses: readonly {key: string; response: CallerResponse}[]
): void {
  for (const {key, response} of responses) {
    const runs = fleet.runCount(key);
    assert.ok(runs <= 1, `${key} ran ${runs} times`);
    const checked = {id: key, body: '', outputTokens: 0, response};
    assert.deepEqual(checkCall(checked, countedRuns(response, runs)), []);
  }
}

/**
 * Returns the runs to check a response against. After `claim_log_unavailable`
 * the key may be sent again and run then, which does not contradict the
 * `not_run` of the first response.
 */
function countedRuns(response: CallerResponse, runs: number): number {
  const type = refusalOf(response)?.type;
  return type === 'claim_log_unavailable' ? 0 : runs;
}

test('requests with one key through all routers run once', () =>
  runWithFleet({}, async fleet => {
    const responses = await Promise.all(
      Array.from({length: 24}, async (_, i) => {
        const key = `race-${i % 4}`;
        return {key, response: await book(fleet, i % 3, key)};
      })
    );
    assertAtMostOnce(fleet, responses);
    for (const {key, response} of responses) {
      assert.equal(fleet.runCount(key), 1);
      const refusal = refusalOf(response);
      if (response.status !== 200) {
        assert.ok(LOSER_TYPES.has(refusal?.type ?? ''), response.body);
        assert.notEqual(
          refusal?.ran,
          'not_run',
          'a request that lost the claim must not report not_run'
        );
      }
    }
  }));

test('a key that is reused for another request is refused and does not run', () =>
  runWithFleet({}, async fleet => {
    const first = await book(fleet, 0, 'key-1');
    assert.equal(first.status, 200);
    const other = await callPlain(fleet, 1, {
      customer: 'kpone',
      path: 'floor-app/offcuts/sell',
      method: 'POST',
      body: '{}',
      key: 'key-1',
    });
    assert.equal(other.status, 422);
    assert.equal(refusalOf(other)?.type, 'idempotency_key_reused');
    assert.equal(fleet.runCount('key-1'), 1);
  }));

test('freezing or killing the owner of a claim causes no second run', () =>
  runWithFleet({}, async fleet => {
    // Delays each run until after its router has been frozen or killed.
    await fleet.target('floor-app-1').control({delayMs: 400});
    const keys = Array.from({length: 10}, (_, i) => `frozen-${i}`);
    const first = keys.map(key => book(fleet, 0, key));
    await sleep(60);
    fleet.router(0).freeze();
    const second = await Promise.all(keys.map(key => book(fleet, 1, key)));
    await sleep(2500);
    fleet.router(0).thaw();
    const responses = [...(await Promise.all(first)), ...second].map(
      (response, i) => ({key: keys[i % keys.length]!, response})
    );
    assertAtMostOnce(fleet, responses);

    const killedKeys = Array.from({length: 10}, (_, i) => `killed-${i}`);
    const interrupted = killedKeys.map(key => book(fleet, 0, key));
    await sleep(100);
    await fleet.router(0).kill();
    fleet.list.remove(fleet.router(0).id);
    await Promise.all(interrupted);
    await fleet.restart(0);
    const repeats = await Promise.all(
      killedKeys.map(async (key, i) => ({
        key,
        response: await book(fleet, i % 3, key),
      }))
    );
    assertAtMostOnce(fleet, repeats);
  }));

test('a log that is down, slow or loses responses causes no second run', () =>
  runWithFleet({}, async fleet => {
    const responses: {key: string; response: CallerResponse}[] = [];
    const send = async (router: number, key: string) =>
      responses.push({key, response: await book(fleet, router, key)});
    fleet.log.server.faults = {
      ...fleet.log.server.faults,
      loseAnswers: 0.4,
      delayMs: 30,
    };
    const pending: Promise<unknown>[] = [];
    for (let i = 0; i < 45; i++) {
      pending.push(send(i % 3, `lossy-${i % 15}`));
      await sleep(40);
    }
    fleet.log.server.faults = {...fleet.log.server.faults, down: true};
    await sleep(200);
    const startMs = performance.now();
    const refused = await book(fleet, 1, 'while-down');
    assert.equal(refused.status, 503);
    assert.equal(refusalOf(refused)?.ran, 'not_run');
    assert.ok(refused.headers['retry-after'], 'a refusal has Retry-After');
    assert.ok(
      performance.now() - startMs < 5000,
      'the refusal must take less than 5 s'
    );
    fleet.log.server.faults = {
      ...fleet.log.server.faults,
      down: false,
      loseAnswers: 0,
      delayMs: 0,
    };
    await Promise.all(pending);
    await fleet.waitUntil('the key can be claimed again', async () => {
      const again = await book(fleet, 1, 'while-down');
      return again.status === 200;
    });
    assert.equal(fleet.runCount('while-down'), 1);
    assertAtMostOnce(fleet, responses);
  }));

test('a restarted router reads the claims before it accepts keyed requests', () =>
  runWithFleet({}, async fleet => {
    const first = await book(fleet, 0, 'before');
    assert.equal(first.status, 200, first.body);
    await fleet.waitUntil('the response is on the log', async () => {
      const read = await fleet.logClient().read('claims', 0, 0);
      return read.ok && JSON.stringify(read.value).includes('"done"');
    });
    await fleet.router(2).kill();
    await fleet.restart(2);
    const repeat = await book(fleet, 2, 'before');
    assert.equal(repeat.headers['idempotency-replayed'], 'true', repeat.body);
    assert.equal(fleet.runCount('before'), 1);
  }));
