/**
 * `npm run slopes`: what one unit of each thing costs, measured at several
 * sizes, so that the two-year size can be worked out from it.
 */
import {
  ClaimTable,
  Dispatcher,
  fleetConfigSchema,
  foldConfig,
  INITIAL_CONFIG_STATE,
  MemberView,
  POLICIES,
  rendezvousPick,
  snapshotOf,
} from '@applebend/core';
import {decodeMessages, encodeMessages} from '@applebend/protocol';
import {Random, sleep} from '@applebend/utils';
import {Fleet} from './lib/fleet.js';
import {customerEntry, SAMPLE_CONFIG} from './lib/sample_config.js';

import type {Announcement, DispatchCommand} from '@applebend/core';
import type {PeerMessage} from '@applebend/protocol';
import type {RouterSample} from './lib/load/sampler.js';

/** One line of the table. */
interface Slope {
  readonly what: string;
  readonly size: number;
  readonly unit: string;
  readonly value: number;
}

const slopes: Slope[] = [];
const MICROSECONDS = 1000;
const MS_PER_S = 1000;
const MB = 1024 * 1024;
const IDLE_SETTLE_MS = 4000;
const IDLE_MS = 10_000;
const random = Random.create(1);

function note(what: string, size: number, unit: string, value: number): void {
  slopes.push({what, size, unit, value});
}

/** Microseconds for one call, the best of three rounds. */
function timeOf(rounds: number, work: () => void): number {
  let best = Infinity;
  for (let attempt = 0; attempt < 3; attempt++) {
    const startMs = performance.now();
    for (let i = 0; i < rounds; i++) work();
    best = Math.min(best, (performance.now() - startMs) / rounds);
  }
  return best * MICROSECONDS;
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function announcementOf(index: number, customers: number): Announcement {
  return {
    requestId: `Ab3dEf9h${index.toString(36)}`,
    customer: `customer-${index % customers}`,
    className: 'layout',
    estimate: random.int(100, 600),
    fingerprint: `fp${index.toString(36).padStart(9, '0')}`,
    affinity: index & 0xffff,
    avoid: [],
    waitedMs: 0,
  };
}

function newDispatcher(targets: number, slots: number): Dispatcher {
  const dispatcher = Dispatcher.create({
    cell: 'nest-llm',
    incarnation: 'AbCdEfGh',
    policy: POLICIES.dispatched,
    slots: {
      limits: {
        startSlots: slots,
        maxSlots: slots,
        firstTokenMs: 890,
        betweenTokensMs: 46,
      },
      shortCallSlots: 1,
    },
    rulesOf: () => ({
      share: 1,
      maxQueued: 1e6,
      priority: 5,
      short: false,
      maxWaitMs: 1e6,
    }),
    leaseMs: 2500,
    wallMs: () => 0,
  });
  dispatcher.handle({type: 'routers', routers: ['entry-1']}, 0);
  const views = Array.from({length: targets}, (_, i) => ({
    id: `nest-llm-${i}`,
    leaving: false,
  }));
  dispatcher.handle({type: 'targets', targets: views}, 0);
  tell(dispatcher, {
    type: 'sync',
    cell: 'nest-llm',
    waiting: [],
    held: [],
    marks: [],
  });
  return dispatcher;
}

function tell(
  dispatcher: Dispatcher,
  message: Extract<PeerMessage, {type: 'to_dispatcher'}>['message']
): DispatchCommand[] {
  return dispatcher.handle(
    {type: 'entry_message', entry: 'entry-1', sentAtMs: 1, message},
    1
  );
}

/** Time of one request at a full cell, by backlogged customers. */
function measureDispatch(): void {
  for (const customers of [10, 91, 300]) {
    const dispatcher = newDispatcher(2, 16);
    const grants: string[] = [];
    const feed = (index: number) => {
      const announcement = announcementOf(index, customers);
      const message = {
        type: 'enqueue',
        cell: 'nest-llm',
        announcement,
      } as const;
      for (const command of tell(dispatcher, message)) {
        if (command.message.type === 'grant') {
          grants.push(command.message.grantId);
        }
      }
    };
    const before = heapBytes();
    const waiting = customers * 10;
    for (let i = 0; i < waiting; i++) feed(i);
    note(
      'queued request, state',
      waiting,
      'B',
      (heapBytes() - before) / waiting
    );
    let next = waiting;
    const perRequestUs = timeOf(2000, () => {
      feed(next++);
      const grantId = grants.shift();
      if (grantId === undefined) return;
      const commands = tell(dispatcher, {
        type: 'finished',
        cell: 'nest-llm',
        grantId,
        end: 'answered',
        cost: 300,
        times: {firstTokenMs: 100, betweenTokensMs: 30},
      });
      for (const {message} of commands) {
        if (message.type === 'grant') grants.push(message.grantId);
      }
    });
    note(
      'dispatch of one request, by customers',
      customers,
      'us',
      perRequestUs
    );
  }
}

/** Bytes and time of each message. */
function measureMessages(): void {
  const announcement = announcementOf(12345, 91);
  const cell = 'nest-llm';
  const grantId = 'AbCdEfGh-12345';
  const messages: Record<string, PeerMessage> = {
    enqueue: {
      type: 'to_dispatcher',
      sentAtMs: 86_400_000,
      message: {type: 'enqueue', cell, announcement},
    },
    grant: {
      type: 'to_entry',
      message: {
        type: 'grant',
        cell,
        requestId: announcement.requestId,
        grantId,
        target: 'nest-llm-11',
        echoMs: 86_400_000,
        leaseMs: 2500,
        service: 123_456_789,
      },
    },
    progress: {
      type: 'to_dispatcher',
      sentAtMs: 86_400_000,
      message: {type: 'progress', cell, grantId, cost: 812},
    },
    finished: {
      type: 'to_dispatcher',
      sentAtMs: 86_400_000,
      message: {
        type: 'finished',
        cell,
        grantId,
        end: 'answered',
        cost: 901,
        times: {firstTokenMs: 101, betweenTokensMs: 31},
      },
    },
    heartbeat: {
      type: 'heartbeat',
      sentAtMs: 86_400_000,
      state: {ready: true, draining: false, revision: 371, leavingTargets: []},
    },
  };
  for (const [name, message] of Object.entries(messages)) {
    const frame = encodeMessages([message]);
    note(`message ${name}`, 1, 'B', frame.length);
    const us = timeOf(20_000, () => {
      decodeMessages(encodeMessages([message]));
    });
    note(`message ${name}, both ends`, 1, 'us', us);
  }
  for (const waiting of [10, 100, 1000]) {
    const message: PeerMessage = {
      type: 'to_dispatcher',
      sentAtMs: 1,
      message: {
        type: 'sync',
        cell,
        waiting: Array.from({length: waiting}, (_, i) => announcementOf(i, 91)),
        held: [],
        marks: [],
      },
    };
    const bytes = encodeMessages([message]).length;
    note('sync after a takeover, by waiting requests', waiting, 'B', bytes);
  }
}

function measureClaims(): void {
  for (const claims of [10_000, 50_000, 200_000]) {
    const before = heapBytes();
    const table = ClaimTable.create(600_000);
    let bytes = 0;
    const startMs = performance.now();
    for (let i = 0; i < claims; i++) {
      const record = {
        type: 'claim',
        claimId: `claimid${i.toString(36).padStart(5, '0')}`,
        customer: `customer-${i % 910}`,
        keyHash: i.toString(16).padStart(32, '0'),
        fingerprint: 'fingerprint',
        owner: 'entry-123/AbCdEfGh',
      };
      const data = JSON.parse(JSON.stringify({records: [record]})) as unknown;
      bytes += JSON.stringify(record).length;
      table.fold(i, i, data);
    }
    const tookMs = performance.now() - startMs;
    const state = (heapBytes() - before) / table.size;
    note('claim, state', claims, 'B', state);
    note('claim, on the log', claims, 'B', bytes / claims);
    note('claim, folded', claims, 'us', (tookMs / claims) * MICROSECONDS);
  }
}

function measureConfig(): void {
  for (const customers of [100, 910, 3000]) {
    const names = Array.from({length: customers}, (_, i) => `customer-${i}`);
    const entries = names.map(name => [name, customerEntry(name, 'standard')]);
    const config = fleetConfigSchema.parse({
      ...SAMPLE_CONFIG,
      customers: Object.fromEntries(entries) as unknown,
    });
    const before = heapBytes();
    const first = {
      type: 'change',
      changeId: 'first',
      base: 0,
      author: 'operator',
      upserts: config,
      removals: {},
    };
    const state = foldConfig(INITIAL_CONFIG_STATE, {offset: 0, data: first});
    const stateBytes = heapBytes() - before;
    const snapshotBytes = JSON.stringify(snapshotOf(state)).length;
    note('configuration, state', customers, 'B', stateBytes);
    note('configuration snapshot', customers, 'B', snapshotBytes);
    const change = {
      type: 'change',
      changeId: 'next',
      base: state.revision,
      author: 'operator',
      upserts: {customers: {'customer-1': customerEntry('x', 'standard')}},
      removals: {},
    };
    note(
      'change of one customer',
      customers,
      'B',
      JSON.stringify(change).length
    );
    const us = timeOf(20, () => {
      foldConfig(state, {offset: state.nextOffset, data: change});
    });
    note('change of one customer, folded', customers, 'us', us);
  }
}

function measureMembership(): void {
  for (const routers of [9, 100, 350]) {
    const ids = Array.from({length: routers}, (_, i) => `entry-${i}`);
    const view = MemberView.create('entry-0', 1600);
    view.onList(ids.map(id => ({id, leaving: false})));
    const state = {
      ready: true,
      draining: false,
      revision: 1,
      leavingTargets: [],
    };
    for (const id of ids) view.onHeartbeat(id, 'life', state, 0);
    const us = timeOf(500, () => {
      view.candidates(1, true);
      view.slotOwners(1);
    });
    note('view of the members', routers, 'us', us);
    const pickUs = timeOf(500, () => rendezvousPick('nest-llm', ids));
    note('choice of a dispatcher', routers, 'us', pickUs);
  }
}

/** What an idle instance spends, by the number of instances. */
async function measureIdleFleets(): Promise<void> {
  for (const routers of [3, 9, 18]) {
    const fleet = await Fleet.create({
      routers,
      policy: 'dispatched',
      config: SAMPLE_CONFIG,
      services: [],
    });
    await sleep(IDLE_SETTLE_MS);
    const before = await statusesOf(fleet);
    await sleep(IDLE_MS);
    const after = await statusesOf(fleet);
    await fleet.stop();
    const meanOf = (figure: (status: RouterSample) => number) =>
      after.reduce((sum, status) => sum + figure(status), 0) / routers;
    const rateOf = (figure: (status: RouterSample) => number) => {
      const start = before.reduce((sum, status) => sum + figure(status), 0);
      const seconds = IDLE_MS / MS_PER_S;
      return (meanOf(figure) - start / routers) / seconds;
    };
    const bytes = rateOf(
      ({traffic}) => traffic.sentBytes + traffic.receivedBytes
    );
    note('idle instance, links', routers, 'B/s', bytes);
    const control = rateOf(status => status.controlSeconds);
    note('idle instance, control', routers, '% of a core', control * 100);
    const memory = meanOf(status => status.rssBytes) / MB;
    note('idle instance, memory', routers, 'MB', memory);
  }
}

async function statusesOf(fleet: Fleet): Promise<RouterSample[]> {
  const statuses = await Promise.all(fleet.routers.map(r => r.status()));
  return statuses.filter((s): s is RouterSample => s !== undefined);
}

measureDispatch();
measureMessages();
measureClaims();
measureConfig();
measureMembership();
await measureIdleFleets();
console.log('| what | size | value | unit |');
console.log('| --- | ---: | ---: | --- |');
for (const {what, size, unit, value} of slopes) {
  const digits = value < 10 ? 2 : 0;
  console.log(`| ${what} | ${size} | ${value.toFixed(digits)} | ${unit} |`);
}
process.exit(0);
