/**
 * One of three servers of a plain service fails part of its requests after it ran
 * them. Its answer does not say that the request was not run.
 */
import crypto from 'node:crypto';
import http from 'node:http';
import {writeFileSync} from 'node:fs';
import {Engine, keepRegistered} from '../lib-2/engine.mjs';
import {Fleet, call, sleep} from '../lib-2/fleet.mjs';
import {Store} from '../lib-2/store.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'shop.example';
/** Of the requests that reach the failing server. */
const FAILING_SHARE = 0.45;
const FAILING_MS = 6000;
const WORK_MS = 20;
const CLIENTS = 9;
const PAUSE_MS = 80;
const STATUS_FAILED = 503;
/** They promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

const records = [];
const startMs = Date.now();
const note = text =>
  records.push(`${String(Date.now() - startMs).padStart(6)} ${text}`);

const CONFIG = {
  version: 3,
  routes: [
    {
      name: 'cut-check',
      host: HOST,
      pathPrefix: '/check/',
      kind: 'unsafe',
      timeoutMs: 1500,
      targetLatencyMs: 100,
      priority: 2,
      service: 'floor-app',
      maxAttempts: 2,
      public: false,
      sticky: false,
      resumable: false,
    },
  ],
  services: [{name: 'floor-app', healthPath: '/health', maxConns: 110}],
  limits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
    tokensPerS: 308000,
  },
  tenants: [{name: 'floor', apiKeys: ['key-floor'], priority: 1}],
};

async function main() {
  const store = await Store.create();
  store.put('keyed.op', 'config', CONFIG);
  const ran = new Map();
  let isFailing = false;
  const engines = ['a', 'b', 'c'].map(
    x => new Engine(`s-${x}`, 'floor-app', store)
  );
  for (const engine of engines) {
    engine.zone = `hall-${engine.id.slice(2)}`;
    engine.slots = 6;
    engine.onRun = (id, url) => {
      ran.set(id, (ran.get(id) ?? 0) + 1);
      note(`run ${id} ${url} at ${engine.id}`);
    };
    engine.respond = (self, req, res) =>
      setTimeout(() => {
        const fails =
          isFailing && self === engines[0] && Math.random() < FAILING_SHARE;
        if (fails)
          note(
            `fails ${req.headers['attempt-id']} at ${self.id} after it ran, status ${STATUS_FAILED}`
          );
        if (fails) self.answer(req, res, 'failed', STATUS_FAILED);
        else self.answer(req, res, 'done');
      }, WORK_MS);
    await engine.start();
  }
  const stop = keepRegistered(engines, store);
  const fleet = await Fleet.create(3, store);
  let isOver = false;
  let orders = 0;
  let broken = 0;
  let repeated = 0;
  const client = async i => {
    const instance = fleet.instances[i % 3];
    const agent = new http.Agent({keepAlive: true, maxSockets: 1});
    while (!isOver) {
      const order = `order-${++orders}`;
      let runs = 0;
      // A client repeats an unsafe request only after a promise, here once.
      for (let tries = 1; tries <= 2; tries++) {
        const id = crypto.randomBytes(8).toString('hex');
        note(`sent ${id} ${order} to ${instance.name}`);
        const {status, headers} = await call({
          host: instance.host,
          port: fleet.ports.front,
          path: `/check/${order}`,
          headers: {
            Host: HOST,
            'Attempt-Id': id,
            'Deadline-Ms': '1500',
            Authorization: 'Bearer key-floor',
            'Content-Length': 0,
          },
          agent: tries === 1 ? agent : false,
        });
        runs += ran.get(id) ?? 0;
        const isBroken = PROMISES.has(status) && ran.has(id);
        if (isBroken) broken += 1;
        note(
          `answered ${id} ${order} ${status} ${ran.has(id) ? 'ran' : 'not run'} ${isBroken ? 'BROKEN' : ''}`
        );
        if (!PROMISES.has(status)) break;
        await sleep(Number(headers['retry-after'] ?? 0.1) * 1000);
      }
      if (runs > 1) repeated += 1;
      await sleep(PAUSE_MS);
    }
    agent.destroy();
  };
  await sleep(3500);
  const clients = Array.from({length: CLIENTS}, (_, i) => client(i));
  await sleep(1500);
  isFailing = TROUBLE;
  await sleep(FAILING_MS);
  isFailing = false;
  await sleep(500);
  isOver = true;
  await Promise.all(clients);
  stop();
  await fleet.close();
  note(
    `${broken} requests were answered with a promise though they had run; ${repeated} of ${orders} orders ran twice`
  );
  writeFileSync('record.txt', records.join('\n') + '\n');
  console.log(records.at(-1));
  process.exit(broken > 0 ? 1 : 0);
}

main().catch(err => {
  console.error(err);
  process.exit(2);
});
