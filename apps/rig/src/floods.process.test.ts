import assert from 'node:assert/strict';
import net from 'node:net';
import {once} from 'node:events';
import {test} from 'node:test';
import {sleep} from '@applebend/utils';
import {call, modelBody, readStream} from './lib/caller_client.js';
import {refusalOf} from './lib/promise_checks.js';
import {CALLER_PORT, PEER_PORT} from './lib/router.js';
import {adminPage, callModel, runWithFleet} from './lib/sample_calls.js';
import {customerEntry, keyOf, SAMPLE_CONFIG} from './lib/sample_config.js';

import type {CallerResponse} from './lib/caller_client.js';
import type {Fleet} from './lib/fleet.js';

const TIMEOUT_MS = 60_000;
const SLOTS = 4;
const ENGINES = 2;
const MAX_QUEUED = 60;
/**
 * Every slot may start another request once while the request is on its way to
 * the dispatcher, and once while its grant is on the way back.
 */
const MAX_OVERTAKING = 2 * SLOTS * ENGINES;

const CONFIG = {
  ...SAMPLE_CONFIG,
  services: {
    'nest-llm': {kind: 'model', slots: SLOTS},
    'floor-app': {kind: 'plain', slots: SLOTS},
  },
  customers: {
    kpone: customerEntry('kpone', 'standard', {maxQueued: MAX_QUEUED}),
    tema: customerEntry('tema', 'standard'),
  },
};

const OPTIONS = {
  config: CONFIG,
  services: [
    {
      name: 'nest-llm',
      kind: 'engine' as const,
      targets: ENGINES,
      args: ['--step-ms', '4'],
    },
  ],
};

function sendModelCall(
  fleet: Fleet,
  customer: string,
  router: number,
  tag: string
): Promise<CallerResponse> {
  const model = 'nest-llm';
  const prompt = `${tag} out=30`;
  const sample = {customer, model, prompt, maxTokens: 64, tag};
  return callModel(fleet, router, sample, TIMEOUT_MS);
}

test('a flood delays only the customer that sends it', () =>
  runWithFleet(OPTIONS, async fleet => {
    const flood = Array.from({length: 300}, (_, i) =>
      sendModelCall(fleet, 'kpone', i % 3, `kpone-${i}`)
    );
    await fleet.waitUntil(
      'the flood occupies the slots',
      () => fleet.runs.length >= SLOTS
    );
    for (let i = 0; i < 8; i++) {
      const sentAtMs = performance.now();
      const response = await sendModelCall(fleet, 'tema', i % 3, `tema-${i}`);
      assert.ok(readStream(response.body).done, response.body);
      const startedAtMs = fleet.runs.find(r => r.key === `tema-${i}`)?.atMs;
      const overtakenBy = fleet.runs.filter(
        r => r.atMs > sentAtMs && r.atMs < (startedAtMs ?? 0)
      );
      assert.ok(
        overtakenBy.length <= MAX_OVERTAKING,
        `overtaken by ${overtakenBy.length} requests`
      );
    }
    const responses = await Promise.all(flood);
    const refused = responses.filter(response => response.status === 429);
    // Up to 100 requests may have started before the last one arrives.
    assert.ok(
      refused.length >= 300 - MAX_QUEUED - 100,
      'the queue must be bounded'
    );
    for (const response of refused) {
      assert.equal(refusalOf(response)?.type, 'queue_full');
      assert.equal(refusalOf(response)?.ran, 'not_run');
      assert.ok(Number(response.headers['retry-after']) >= 1);
    }
    const completeCount = responses.filter(a => readStream(a.body).done).length;
    assert.equal(completeCount + refused.length, responses.length);
  }));

/** Returns how many other routers the first router sees as alive. */
async function memberCount(fleet: Fleet): Promise<number> {
  const status = (await fleet.router(0).status()) as {members: unknown[]};
  return status.members.length;
}

/** Sends raw bytes and returns what arrives until the close or for 4 s. */
async function sendRaw(
  host: string,
  port: number,
  bytes: string | Buffer
): Promise<string> {
  const socket = net.connect({host, port});
  const chunks: Buffer[] = [];
  socket.on('data', chunk => chunks.push(chunk));
  socket.on('error', () => {});
  await once(socket, 'connect');
  socket.write(bytes);
  const closed = once(socket, 'close').catch(() => undefined);
  await Promise.race([closed, sleep(4000)]);
  socket.destroy();
  return Buffer.concat(chunks).toString('utf8');
}

test('malformed input gets a typed error and disturbs no other request', () =>
  runWithFleet(OPTIONS, async fleet => {
    const host = fleet.hostOf(0);
    const {url} = fleet.router(0);
    await fleet.waitUntil(
      'the first router sees two others',
      async () => (await memberCount(fleet)) === 2
    );
    const garbage = await sendRaw(
      host,
      CALLER_PORT,
      '\u0000\u0001 nonsense\r\n\r\n'
    );
    assert.match(garbage, /^HTTP\/1.1 400/);
    assert.match(garbage, /"ran":"not_run"/);
    const header = `GET / HTTP/1.1\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`;
    assert.match(await sendRaw(host, CALLER_PORT, header), /^HTTP\/1.1 431/);

    const authorization = `Bearer ${keyOf('kpone')}`;
    const chat = `${url}/v1/chat/completions`;
    const good = modelBody({
      model: 'nest-llm',
      prompt: 'x',
      maxTokens: 8,
      tag: 'x',
      stream: true,
    });
    // URL, method, authorization, body; expected status and error type.
    const cases: readonly [string, string, string, string, number, string][] = [
      [chat, 'POST', '', good, 401, 'unauthorized'],
      [chat, 'POST', 'Bearer nobody', good, 401, 'unauthorized'],
      [chat, 'POST', authorization, '{"model":', 400, 'bad_request'],
      [chat, 'GET', authorization, '', 400, 'bad_request'],
      [
        chat,
        'POST',
        authorization,
        good.replace('nest-llm', 'none'),
        404,
        'unknown_service',
      ],
      [`${url}/floor-app/stock`, 'GET', authorization, '', 503, 'no_target'],
      [`${url}/nothing/here`, 'GET', authorization, '', 404, 'unknown_service'],
      [
        chat,
        'POST',
        authorization,
        'x'.repeat(2_000_000),
        413,
        'request_too_large',
      ],
    ];
    for (const [at, method, auth, body, status, type] of cases) {
      const response = await call({
        url: at,
        method,
        headers: auth === '' ? {} : {authorization: auth},
        body,
        timeoutMs: 5000,
      });
      assert.equal(response.status, status, `${type}: ${response.failure}`);
      assert.equal(refusalOf(response)?.type, type);
      assert.equal(refusalOf(response)?.ran, 'not_run');
    }

    const upgrade =
      'GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n' +
      'Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n';
    // A masked binary frame whose content is not valid MessagePack.
    const frame = Buffer.from([0x82, 0x83, 0, 0, 0, 0, 0xc1, 0xc1, 0xc1]);
    const bytes = Buffer.concat([Buffer.from(upgrade), frame]);
    await sendRaw(host, PEER_PORT, bytes);
    await fleet.waitUntil('the malformed frame is counted', async () => {
      const metrics = await adminPage(fleet, 0, '/metrics');
      return /link_closes_total\{reason="malformed_frame"\} 1/.test(metrics);
    });
    assert.equal(
      await memberCount(fleet),
      2,
      'the links to the other routers must stay open'
    );
    const after = await sendModelCall(fleet, 'tema', 0, 'after');
    assert.ok(readStream(after.body).done);
  }));
