import assert from 'node:assert/strict';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {readStream} from './lib/caller_client.js';
import {checkCall, refusalOf} from './lib/promise_checks.js';
import {callModel, sampleBody, runWithFleet} from './lib/sample_calls.js';
import {SAMPLE_CONFIG} from './lib/sample_config.js';

import type {Fleet} from './lib/fleet.js';
import type {CheckedCall} from './lib/promise_checks.js';

const CALLS = 40;
const TOKENS = 60;

/** Streams of `nest-llm` can be resumed, those of `plan-lm` cannot. */
const CONFIG = {
  ...SAMPLE_CONFIG,
  services: {
    'nest-llm': {kind: 'model', slots: 8, resume: true},
    'plan-lm': {kind: 'model', slots: 8, resume: false},
    'floor-app': {kind: 'plain', slots: 8},
  },
};

const ENGINE = ['--step-ms', '10', '--step-per-request-ms', '0.2'];

/** Sends a streamed call; the id is also its tag. */
async function sendStreamed(
  fleet: Fleet,
  model: string,
  index: number,
  prefix: string
): Promise<CheckedCall> {
  const id = `${prefix}-${index}`;
  const sample = {
    customer: 'kpone',
    model,
    prompt: `call ${id} out=${TOKENS}`,
    maxTokens: 100,
    tag: id,
  };
  const router = index % fleet.routers.length;
  const response = await callModel(fleet, router, sample);
  const body = sampleBody(sample);
  return {id, body, outputTokens: TOKENS, response};
}

/** Sends calls through all routers in turn, 10 ms apart. */
async function streamMany(
  fleet: Fleet,
  model: string,
  prefix: string
): Promise<CheckedCall[]> {
  const calls: Promise<CheckedCall>[] = [];
  for (let i = 0; i < CALLS; i++) {
    calls.push(sendStreamed(fleet, model, i, prefix));
    await sleep(10);
  }
  return Promise.all(calls);
}

/** Checks each response against its request and the runs at targets. */
function assertPromisesKept(fleet: Fleet, calls: readonly CheckedCall[]): void {
  for (const checked of calls) {
    const violations = checkCall(checked, fleet.runCount(checked.id));
    assert.deepEqual(violations, []);
  }
}

function completeCount(calls: readonly CheckedCall[]): number {
  return calls.filter(({response}) => readStream(response.body).done).length;
}

test('callers get complete responses to their own requests while engines fail', () =>
  runWithFleet(
    {
      config: CONFIG,
      services: [
        {
          name: 'nest-llm',
          kind: 'engine',
          targets: 3,
          args: [...ENGINE, '--resume-grace-ms', '3000'],
        },
        {name: 'plan-lm', kind: 'engine', targets: 3, args: ENGINE},
      ],
    },
    async fleet => {
      const undisturbed = await streamMany(fleet, 'nest-llm', 'quiet');
      assertPromisesKept(fleet, undisturbed);
      assert.equal(completeCount(undisturbed), CALLS);

      const killed = streamMany(fleet, 'plan-lm', 'killed');
      await sleep(500);
      await fleet.target('plan-lm-1').kill();
      const broken = await killed;
      assertPromisesKept(fleet, broken);
      const partial = broken.filter(c => !readStream(c.response.body).done);
      assert.ok(partial.length > 0, 'the kill must break off some responses');
      for (const {response} of partial) {
        assert.ok(
          refusalOf(response)?.type,
          'a broken response must end with an error event'
        );
      }

      await fleet.target('nest-llm-1').control({crossAnswers: true});
      const crossed = await streamMany(fleet, 'nest-llm', 'crossed');
      assertPromisesKept(fleet, crossed);
      await fleet.target('nest-llm-1').control({});

      const severed = streamMany(fleet, 'nest-llm', 'severed');
      await sleep(400);
      await fleet.target('nest-llm-2').control({severStreams: true});
      await sleep(50);
      await fleet.target('nest-llm-2').control({});
      const resumed = await severed;
      assertPromisesKept(fleet, resumed);
      assert.equal(
        completeCount(resumed),
        CALLS,
        'broken streams must be resumed'
      );
    }
  ));

test('a caller that disconnects cancels its request at the target', () =>
  runWithFleet(
    {
      routers: 1,
      config: CONFIG,
      services: [
        {
          name: 'nest-llm',
          kind: 'engine',
          targets: 1,
          args: ['--step-ms', '20', '--resume-grace-ms', '600000'],
        },
      ],
    },
    async fleet => {
      const engine = fleet.target('nest-llm-1');
      const sample = {
        customer: 'kpone',
        model: 'nest-llm',
        prompt: 'out=4000',
        maxTokens: 5000,
        tag: 'gone',
      };
      // Without a cancellation, the engine would keep the request for 10 min.
      const response = await callModel(fleet, 0, sample, 700);
      assert.equal(response.failure, 'timeout', response.body);
      await fleet.waitUntil(
        'the engine runs no request',
        async () => (await engine.runningNow()) === 0
      );
    }
  ));
