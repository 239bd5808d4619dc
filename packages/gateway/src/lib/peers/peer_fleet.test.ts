/** Many exchanges in one process, over loopback. */
import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {systemClock} from '@applebend/utils';
import {FleetState} from '../state/fleet_state.js';
import {PeerExchange} from './peer_exchange.js';

import type {RunningRequest, Target} from '@applebend/routing';
import type {
  GatewaySettings,
  PeerInfo,
  ConfirmedState,
  StateSource,
} from '../ports.js';

const log = Logger.create(LOG_LEVEL.error, {});
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** All exchanges share one process, so a busy machine slows them all. */
const PATIENCE_MS = 15_000;

async function waitUntil(
  what: string,
  check: () => boolean | Promise<boolean>
): Promise<void> {
  const untilMs = performance.now() + PATIENCE_MS;
  while (!(await check())) {
    assert.ok(performance.now() < untilMs, `never: ${what}`);
    await sleep(50);
  }
}

const TARGET: Target = {
  id: 't-1',
  service: 'llm',
  host: '127.0.0.1',
  port: 9,
  failureDomain: 'hall-a',
  slots: 32,
  state: 'ready',
  startedAtMs: 1,
};

/** Counts the reads that it makes for others. */
class CountingSource implements StateSource {
  reads = 0;
  /** A source that cannot read has no proof. */
  isCut = false;
  ask = (): Promise<ConfirmedState | undefined> => Promise.resolve(undefined);

  start(): void {}
  stop(): void {}
  configAgeMs(): number {
    return 0;
  }
  targetListStamp() {
    return {key: 0, ageMs: 0};
  }
  onPeerTargetList(): void {}
  async confirm(): Promise<ConfirmedState | undefined> {
    const newest = await this.ask();
    if (newest !== undefined) return newest;
    if (this.isCut) return undefined;
    this.reads += 1;
    return {configVersion: 7, targetsKey: 8, targets: [TARGET]};
  }
}

class Instance {
  private constructor(
    readonly info: PeerInfo,
    readonly state: FleetState,
    readonly source: CountingSource,
    readonly exchange: PeerExchange
  ) {}

  static create(index: number, port: number): Instance {
    const info = {
      instance: `entry-${String(index).padStart(2, '0')}`,
      failureDomain: `hall-${'abc'[index % 3]}`,
      capacity: index < 6 ? 2 : 1,
      host: '127.0.0.1',
      port,
    };
    const {instance, failureDomain, capacity, host} = info;
    const settings = {
      instance,
      failureDomain,
      capacity,
      seeds: [],
      peers: {host, port},
      shareWindowMs: 4000,
      retryBudget: {windowMs: 10_000, ratio: 0.2, minRetries: 58},
    } as unknown as GatewaySettings;
    const source = new CountingSource();
    const inspector = {fetchCachedBlocks: () => Promise.resolve(undefined)};
    const state = FleetState.create(settings, source, inspector, log);
    state.onTargets([TARGET]);
    const clock = systemClock;
    const incarnation = index + 1;
    const exchange = PeerExchange.create({
      state,
      clock,
      log,
      incarnation,
      source,
    });
    source.ask = () => exchange.requestConfirmation(0);
    exchange.start();
    return new Instance(info, state, source, exchange);
  }

  /** Places a request that stays. */
  place(): RunningRequest | undefined {
    const running = this.state.targets.get(TARGET.id)?.ownLoad.start(100, 200);
    this.exchange.onPlaced(TARGET.id, undefined, false);
    return running;
  }

  get seenRunning(): number {
    return this.state.targets.get(TARGET.id)?.fleetLoad.running ?? -1;
  }
}

/** Ports that were free a moment ago. */
async function freePorts(count: number): Promise<number[]> {
  const sockets = Array.from({length: count}, () => dgram.createSocket('udp4'));
  const bind = (socket: dgram.Socket) =>
    new Promise<number>(resolve =>
      socket.bind(0, '127.0.0.1', () => resolve(socket.address().port))
    );
  const ports = await Promise.all(sockets.map(bind));
  for (const socket of sockets) socket.close();
  return ports;
}

async function withFleet(
  count: number,
  play: (fleet: Instance[]) => Promise<void>
): Promise<void> {
  const ports = await freePorts(count);
  const fleet = ports.map((port, index) => Instance.create(index, port));
  try {
    for (const {exchange} of fleet) {
      exchange.addListedPeers(fleet.map(({info}) => info));
    }
    await sleep(1300);
    await play(fleet);
  } finally {
    for (const {exchange} of fleet) exchange.stop();
  }
}

const seesAll = (fleet: readonly Instance[], running: number) => () =>
  fleet.every(instance => instance.seenRunning === running);

test('a fleet of groups knows all its work, also when a relay is gone', async () => {
  await withFleet(27, async fleet => {
    for (const instance of fleet) instance.place();
    await waitUntil('all see all', seesAll(fleet, 27));
    await waitUntil('all count all', () =>
      fleet.every(({state}) => state.instanceCount === 27)
    );
    const [relay, ...others] = fleet;
    relay.exchange.stop();
    await waitUntil('its work is forgotten', seesAll(others, 26));
    others[0].place();
    await waitUntil('new work is seen', seesAll(others, 27));
    relay.exchange.stop = () => undefined;
  });
});

test('one instance reads for a fleet of groups; without it others do', async () => {
  await withFleet(27, async fleet => {
    const reads = () => fleet.reduce((n, {source}) => n + source.reads, 0);
    const proveAll = () =>
      Promise.all(fleet.map(({source}) => source.confirm()));
    await waitUntil('few reads prove all', async () => {
      const before = reads();
      const proofs = await proveAll();
      for (const proof of proofs) {
        assert.equal(proof?.configVersion, 7);
        assert.deepEqual(proof?.targets, [TARGET]);
      }
      return reads() - before <= 6;
    });
    const [reader] = [...fleet].sort((a, b) => b.source.reads - a.source.reads);
    reader.source.isCut = true;
    await waitUntil('all but the reader have a proof', async () => {
      const proofs = await proveAll();
      return proofs.filter(proof => proof !== undefined).length >= 26;
    });
  });
});
