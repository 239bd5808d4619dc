import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {CRASH_MARKER} from '@applebend/standins';
import {readStream} from './lib/caller_client.js';
import {refusalOf} from './lib/promise_checks.js';
import {callModel, runWithFleet} from './lib/sample_calls.js';

import type {Fleet} from './lib/fleet.js';

const ENGINES = [
  {
    name: 'nest-llm',
    kind: 'engine' as const,
    targets: 4,
    args: ['--step-ms', '10'],
  },
];

function sendModelCall(
  fleet: Fleet,
  router: number,
  prompt: string,
  tag: string
) {
  const model = 'nest-llm';
  const sample = {customer: 'kpone', model, prompt, maxTokens: 100, tag};
  return callModel(fleet, router, sample);
}

/** Restarts crashed engines until stopped; returns the number of crashes. */
async function restartCrashedEngines(
  fleet: Fleet,
  stop: AbortSignal
): Promise<number> {
  let crashes = 0;
  while (!stop.aborted) {
    for (const target of fleet.targets) {
      if (target.running) continue;
      crashes += 1;
      await target.start();
    }
    await sleep(200);
  }
  return crashes;
}

test('a request that crashes targets is quarantined after two crashes', async () => {
  const stop = new AbortController();
  await runWithFleet({services: ENGINES}, async fleet => {
    try {
      const crashCount = restartCrashedEngines(fleet, stop.signal);
      const crashingPrompt = `${CRASH_MARKER} out=50`;
      const others = Array.from({length: 12}, (_, i) =>
        sendModelCall(fleet, i % 3, `other ${i} out=40`, `other-${i}`)
      );
      for (const router of [0, 1]) {
        const {body} = await sendModelCall(
          fleet,
          router,
          crashingPrompt,
          'crashing'
        );
        assert.ok(!readStream(body).done, 'the response must not be complete');
      }
      const again = await sendModelCall(fleet, 2, crashingPrompt, 'crashing');
      assert.equal(refusalOf(again)?.type, 'quarantined', again.body);
      const waitedMs = again.endedAtMs - again.sentAtMs;
      assert.ok(waitedMs < 1000, `the refusal took ${waitedMs} ms`);

      for (const response of await Promise.all(others)) {
        const {done} = readStream(response.body);
        const lostTarget = refusalOf(response)?.type === 'target_lost';
        assert.ok(done || lostTarget, response.body);
      }

      // Restarted routers must read the quarantine from the log before they
      // accept requests, even if the log is slow.
      await Promise.all(fleet.routers.map(router => router.kill()));
      fleet.log.server.faults = {...fleet.log.server.faults, delayMs: 150};
      for (const router of fleet.routers) router.start();
      await fleet.waitUntilReady();
      for (const router of [0, 1, 2]) {
        const response = await sendModelCall(
          fleet,
          router,
          crashingPrompt,
          'crashing'
        );
        assert.equal(refusalOf(response)?.type, 'quarantined', response.body);
      }
      await sleep(500);
      stop.abort();
      const crashes = await crashCount;
      assert.ok(crashes <= 2, `the request crashed ${crashes} targets`);
      const afterwards = await sendModelCall(
        fleet,
        0,
        'other 1 out=40',
        'after'
      );
      assert.ok(
        readStream(afterwards.body).done,
        'other requests must still be served'
      );
    } finally {
      stop.abort();
    }
  });
});
