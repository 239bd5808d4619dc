import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sleep, systemClock} from '@applebend/utils';
import {sampleTarget} from '../../testing/sample_target.js';
import {FleetState} from '../state/fleet_state.js';
import {PeerExchange} from './peer_exchange.js';

import type {LoadHandle} from '@applebend/routing';
import type {
  ConfirmedState,
  HeldState,
  PeerInfo,
  StateSource,
} from '../ports.js';
import type {GatewaySettings} from '../settings.js';

const log = Logger.create(LOG_LEVEL.error, {});
/** For which an instance does not read its messages. */
const BUSY_MS = 900;
/** All instances share one process, so a busy machine slows them all. */
const WAIT_TIMEOUT_MS = 15_000;

async function waitUntil(
  what: string,
  check: () => boolean | Promise<boolean>
): Promise<void> {
  const untilMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await check())) {
    assert.ok(performance.now() < untilMs, `timed out waiting until ${what}`);
    await sleep(50);
  }
}

const TARGET = sampleTarget({service: 'llm', slots: 32});

const TARGET_LIST = {targets: [TARGET], storeEra: 0, restoredBefore: 0};

/** Asks the parent, else returns a fixed state and counts this as a read. */
class CountingSource implements StateSource {
  reads = 0;
  /** Set to let reads of the store fail. */
  isStoreDown = false;
  askParent = (): Promise<ConfirmedState | undefined> =>
    Promise.resolve(undefined);
  /** Called with each read of the store. */
  onRead = (): void => undefined;

  start(): void {}
  stop(): void {}
  configAgeMs(): number {
    return 0;
  }
  heldState() {
    const targetList = {key: 0, ageMs: 0};
    return {
      storeEra: 0,
      configVersion: 7,
      isConfigConfirmed: true,
      targetList,
    };
  }
  /** Ages of the lists that peers have read, as they were passed on. */
  readonly peerListAgesMs: number[] = [];
  onPeerState({targetList}: HeldState): void {
    this.peerListAgesMs.push(targetList.ageMs);
  }
  targetsReadAgeMs(): number {
    return 0;
  }

  targetsAgeMs(): number {
    return 0;
  }
  storeLostMs(): number {
    return 0;
  }

  areTargetsCurrent(): boolean {
    return true;
  }
  async refreshTargets(): Promise<void> {}
  configRecord(): undefined {
    return undefined;
  }
  async confirm(): Promise<ConfirmedState | undefined> {
    const newest = await this.askParent();
    if (newest !== undefined) return newest;
    if (this.isStoreDown) return undefined;
    this.reads += 1;
    this.onRead();
    return {
      configVersion: 7,
      targetsKey: 8,
      targets: [TARGET],
      storeEra: 0,
      targetsAgeMs: 0,
      restoredBefore: 0,
    };
  }
}

/** One instance's exchange and state, with a real socket on loopback. */
class Instance {
  private constructor(
    readonly info: PeerInfo,
    readonly state: FleetState,
    readonly source: CountingSource,
    readonly exchange: PeerExchange
  ) {}

  static async create(index: number, port: number): Promise<Instance> {
    const info = {
      instance: `entry-${String(index).padStart(2, '0')}`,
      failureDomain: `hall-${'abc'[index % 3]}`,
      // 27 instances form six groups; each has one of the first six as relay.
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
      coldBound: {overage: Infinity, slack: 0},
      retryBudget: {windowMs: 10_000, ratio: 0.2, minRetries: 58},
    } as unknown as GatewaySettings;
    const source = new CountingSource();
    const inspector = {inspect: () => Promise.resolve(undefined)};
    const state = FleetState.create(settings, source, inspector, log);
    state.onTargets(TARGET_LIST, systemClock.monotonicMs());
    const clock = systemClock;
    const incarnation = index + 1;
    const exchange = PeerExchange.create({
      state,
      clock,
      log,
      incarnation,
      source,
    });
    source.askParent = () => exchange.requestConfirmation(0);
    await exchange.open({host, port, purpose: 'peers', log});
    exchange.start();
    return new Instance(info, state, source, exchange);
  }

  /** Starts a request that does not end. */
  startRequest(): LoadHandle | undefined {
    const running = this.state.targets.get(TARGET.id)?.ownLoad.start(100, 200);
    this.exchange.onPlaced(TARGET.id, undefined, false);
    return running;
  }

  get runningAtTarget(): number {
    return this.state.targets.get(TARGET.id)?.fleetLoad.running ?? -1;
  }
}

/** Returns ports that were free a moment ago. */
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
  run: (fleet: Instance[]) => Promise<void>
): Promise<void> {
  const ports = await freePorts(count);
  const fleet = await Promise.all(
    ports.map((port, index) => Instance.create(index, port))
  );
  try {
    for (const {exchange} of fleet) {
      exchange.addListedPeers(fleet.map(({info}) => info));
    }
    // Gives the relays time to receive each other's full aggregates.
    await sleep(1300);
    await run(fleet);
  } finally {
    for (const {exchange} of fleet) exchange.stop();
  }
}

const allSee = (fleet: readonly Instance[], running: number) => () =>
  fleet.every(instance => instance.runningAtTarget === running);

test('all groups see the load of the whole fleet, also after a relay stops', async () => {
  await withFleet(27, async fleet => {
    for (const instance of fleet) instance.startRequest();
    await waitUntil('all instances see all requests', allSee(fleet, 27));
    await waitUntil('all instances are counted', () =>
      fleet.every(({state}) => state.instanceCount === 27)
    );
    const [relay, ...others] = fleet;
    relay.exchange.stop();
    await waitUntil(
      'the load of the stopped relay is evicted',
      allSee(others, 26)
    );
    others[0].startRequest();
    await waitUntil('a new request is seen', allSee(others, 27));
    // It is stopped already; closing its socket again would throw.
    relay.exchange.stop = () => undefined;
  });
});

test('losses that two groups observe quarantine a request in all groups', async () => {
  await withFleet(27, async fleet => {
    const lose = (instance: Instance, target: string) => {
      const loss = {fingerprint: 'f', target, seenAtMs: systemClock.wallMs()};
      instance.state.crashGuard.onPeerLoss(loss);
      instance.exchange.announceNow([{kind: 'loss', loss}]);
    };
    lose(fleet[0], 't-1');
    lose(fleet[26], 't-2');
    await waitUntil('all refuse the request', () =>
      fleet.every(({state}) => state.crashGuard.quarantineLeftMs('f') > 0)
    );
  });
});

test('losses in several groups quarantine a block in all, but none that ran', async () => {
  await withFleet(27, async fleet => {
    const [entry] = fleet;
    entry.state.crashGuard.onSurvivals = survivals =>
      entry.exchange.announce({kind: 'survivals', survivals});
    entry.state.crashGuard.onBlocksRan(['first']);
    for (const [index, target] of [
      [1, 't-1'],
      [13, 't-2'],
      [26, 't-3'],
    ] as const) {
      const {state, exchange} = fleet[index];
      const loss = {
        fingerprint: `f${index}`,
        target,
        seenAtMs: systemClock.wallMs(),
        blocks: ['first', 'bad'],
      };
      state.crashGuard.onPeerLoss(loss);
      exchange.announceNow([{kind: 'loss', loss}]);
      // Targets that are lost together count once.
      await sleep(200);
    }
    await waitUntil('all refuse the block', () =>
      fleet.every(({state}) => state.crashGuard.quarantineLeftMs('bad') > 0)
    );
    for (const {state} of fleet) {
      assert.equal(state.crashGuard.quarantineLeftMs('first'), 0);
    }
  });
});

test('requests to a limited target at one instance count in all groups', async () => {
  await withFleet(27, async fleet => {
    const sent = 30;
    const limitPerS = 10;
    const limits = fleet.map(({state}) => {
      state.targets.backpressure.onPeerLimit(
        TARGET.id,
        limitPerS,
        systemClock.monotonicMs()
      );
      const record = state.targets.get(TARGET.id);
      assert.ok(record);
      return record.rateLimit;
    });
    for (let i = 0; i < sent; i++) fleet[13].exchange.onLimitedSend(TARGET.id);
    await waitUntil('all others hold back', () => {
      const nowMs = systemClock.monotonicMs();
      const others = limits.filter((_, index) => index !== 13);
      return others.every(limit => limit.availableAtMs(nowMs) > nowMs + 1000);
    });
  });
});

test('all groups know at which version each stream was begun', async () => {
  await withFleet(27, async fleet => {
    fleet.forEach((instance, index) => {
      const version = `v${index}`;
      const nowMs = systemClock.monotonicMs();
      instance.state.streamVersions.add(index, version, nowMs);
      instance.exchange.announce({kind: 'streams', version, attempts: [index]});
    });
    await waitUntil('all know all streams', () =>
      fleet.every(({state}) =>
        fleet.every((_, i) => state.streamVersions.versionOf(i) === `v${i}`)
      )
    );
  });
});

test('all groups hear that one instance has saved the version journal', async () => {
  await withFleet(27, async fleet => {
    const heard = new Map<string, string[]>();
    for (const {state, info} of fleet) {
      const writers: string[] = [];
      heard.set(info.instance, writers);
      state.versionJournal.onPeerSaved = writer => writers.push(writer);
    }
    const [, , , , , , writer] = fleet;
    const {instance} = writer.info;
    writer.exchange.announce({kind: 'journal_saved', instance});
    await waitUntil('all others hear it', () =>
      fleet.every(
        peer => peer === writer || heard.get(peer.info.instance)?.length === 1
      )
    );
    // A notice that went round between relays would come again by now.
    await sleep(500);
    for (const {info} of fleet) {
      const writers = heard.get(info.instance) ?? [];
      if (info.instance !== instance) assert.deepEqual(writers, [instance]);
    }
  });
});

test('few instances read the store for the fleet, others if they cannot', async () => {
  await withFleet(27, async fleet => {
    const reads = () => fleet.reduce((n, {source}) => n + source.reads, 0);
    const confirmAll = () =>
      Promise.all(fleet.map(({source}) => source.confirm()));
    await waitUntil('few reads confirm the state for all', async () => {
      const before = reads();
      const states = await confirmAll();
      for (const state of states) {
        assert.equal(state?.configVersion, 7);
        assert.deepEqual(state?.targets, [TARGET]);
      }
      return reads() - before <= 6;
    });
    const [reader] = [...fleet].sort((a, b) => b.source.reads - a.source.reads);
    reader.source.isStoreDown = true;
    await waitUntil(
      'all but the former reader have a confirmation',
      async () => {
        const states = await confirmAll();
        return states.filter(state => state !== undefined).length >= 26;
      }
    );
  });
});

test('an evacuation that one instance reads is known to all with a confirmation', async () => {
  await withFleet(27, async fleet => {
    const reads = () => fleet.reduce((n, {source}) => n + source.reads, 0);
    const confirmAll = () =>
      Promise.all(fleet.map(({source}) => source.confirm()));
    await waitUntil('few reads confirm the state for all', async () => {
      const before = reads();
      await confirmAll();
      return reads() - before <= 6;
    });
    let asOf = 0;
    const evacuate = (isWritten: boolean) => {
      asOf += 1;
      const changes = new Map([[TARGET.failureDomain, isWritten]]);
      const read = {changes, isComplete: true, asOf, storeEra: 0};
      for (const {source, state} of fleet) {
        source.onRead = () =>
          state.targets.onEvacuations(read, systemClock.monotonicMs());
      }
    };
    const readyCounts = () =>
      fleet.map(({state}) => state.targets.readyTargets('llm').length);
    for (const [isWritten, ready] of [
      [true, 0],
      [false, 1],
    ] as const) {
      evacuate(isWritten);
      const before = reads();
      await confirmAll();
      assert.ok(reads() - before <= 6, `${reads() - before} reads`);
      assert.deepEqual([...new Set(readyCounts())], [ready]);
    }
  });
});

test('a list that a peer read is as old as its message, however late that is read', async () => {
  await withFleet(2, async ([sender, receiver]) => {
    const {peerListAgesMs} = receiver.source;
    const before = peerListAgesMs.length;
    sender.exchange.announceNow([]);
    const untilMs = performance.now() + BUSY_MS;
    while (performance.now() < untilMs);
    await waitUntil('it is read', () => peerListAgesMs.length > before);
    const [ageMs] = peerListAgesMs.slice(before);
    assert.ok(ageMs >= BUSY_MS - 100, `${ageMs} ms`);
  });
});
