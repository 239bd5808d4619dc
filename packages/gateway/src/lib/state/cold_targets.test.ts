import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RouteTable, TARGET_STATE} from '@applebend/routing';
import {sampleTarget} from '../../testing/sample_target.js';
import {secondsUntilResumed} from '../front/pause_advice.js';
import {applyNotice, noticesForStart} from '../peers/notice.js';
import {candidatesFor} from '../upstream/candidates.js';
import {FleetState} from './fleet_state.js';

import type {FleetConfig, Target, TargetList} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {ExchangeDeps} from '../front/exchange_deps.js';
import type {StateSource} from '../ports.js';
import type {GatewaySettings} from '../settings.js';

const SERVICE = 'app';
const DURATION_MS = 6000;
/** Seven owners with a share of 7.8 / 7 each. */
const SHARE_MS = 7000 / 7.8;
const OWNER = 'entry-0';

/** One instance, whose list of instances and targets the test sets. */
class TestInstance {
  readonly state: FleetState;
  readonly lines: string[] = [];
  private offset = 0;

  constructor(instance = OWNER, ratePerS = 7.8, slack = 5) {
    const settings = {
      instance,
      failureDomain: 'hall-a',
      isFleetBootstrap: false,
      shareWindowMs: 4000,
      coldBound: {overage: 1.5, slack},
    } as unknown as GatewaySettings;
    const write = (event: string, fields: object) => {
      if (event.startsWith('target cold') || event.startsWith('target warm')) {
        this.lines.push(`${event} ${JSON.stringify(fields)}`);
      }
    };
    const log = {info: write, warn: write} as unknown as Logger;
    const inspector = {inspect: () => Promise.resolve(undefined)};
    const source = {} as StateSource;
    this.state = FleetState.create(settings, source, inspector, log);
    const coldStart = {ratePerS, durationMs: DURATION_MS};
    const config = {
      version: 1,
      routes: RouteTable.create([]),
      services: new Map([[SERVICE, {name: SERVICE, coldStart}]]),
    } as unknown as FleetConfig;
    this.state.onConfig(config, 0);
  }

  /** Lists seven instances, which are all owners, at first. */
  listOwners(nowMs = 0): void {
    const ids = Array.from({length: 7}, (_, i) => `entry-${i}`);
    this.state.targets.cold.onListed(ids, nowMs);
  }

  /** Reads a list with one target, registered anew. */
  register(change: Partial<Target>, nowMs: number, list = {}): void {
    this.offset += 1;
    const {offset: registeredAt} = this;
    const target = sampleTarget({service: SERVICE, registeredAt, ...change});
    const read = {targets: [target], storeEra: 0, restoredBefore: 0, ...list};
    this.state.onTargets(read satisfies TargetList, nowMs);
  }

  get coldStart() {
    const record = this.state.targets.get('t-1');
    assert.ok(record !== undefined);
    return record.coldStart;
  }

  candidates(nowMs: number): number {
    return candidatesFor(this.state.targets.readyTargets(SERVICE), {
      prompt: undefined,
      failureDomain: 'hall-a',
      softwareVersion: undefined,
      mayTryEjected: true,
      tried: new Set(),
      nowMs,
      random: () => 0,
    }).length;
  }

  retryAfterS(nowMs: number): number | undefined {
    const deps = {state: this.state} as unknown as ExchangeDeps;
    return secondsUntilResumed(SERVICE, deps, nowMs);
  }

  hearLoss(target: string, nowMs: number): void {
    const loss = {fingerprint: 'f', target, seenAtMs: 0, hasProgressed: false};
    applyNotice({kind: 'loss', loss}, this.state, nowMs);
  }
}

test('a cold target is no candidate beyond the share of this instance', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({coldLeftMs: 3000}, 0);
  assert.equal(instance.candidates(0), 0);
  assert.equal(instance.candidates(1000), 1);
  instance.coldStart.trySend(1000);
  assert.equal(instance.candidates(1000), 0);
  assert.equal(instance.candidates(3500), 1);
});

test('an instance that has not read the list of instances sends nothing to a cold target', () => {
  const instance = new TestInstance();
  instance.register({coldLeftMs: 3000}, 0);
  assert.equal(instance.candidates(3499), 0);
  instance.listOwners(1000);
  assert.equal(instance.candidates(1000 + SHARE_MS + 1), 1);
});

test('an instance that is not listed sends nothing to a cold target', () => {
  const instance = new TestInstance('other');
  instance.listOwners();
  instance.register({coldLeftMs: 3000}, 0);
  assert.equal(instance.candidates(3499), 0);
});

test('a listed instance that joins owns its share once all others have read of it', () => {
  const instance = new TestInstance('entry-8');
  instance.listOwners();
  instance.register({coldLeftMs: 60_000}, 0);
  // The order of t-1 has this instance among the first seven of eight.
  instance.state.targets.cold.onListed(['entry-8'], 100);
  instance.state.targets.cold.update(4000);
  assert.equal(instance.coldStart.rate(4000), 0);
  instance.state.targets.cold.update(4100);
  assert.ok(instance.coldStart.rate(4100) > 1);
});

test('without a cold rate, or a bound, a cold target is a candidate as any other', () => {
  for (const instance of [
    new TestInstance(OWNER, 0),
    new TestInstance(OWNER, 7.8, Infinity),
  ]) {
    instance.register({coldLeftMs: 60_000}, 0);
    instance.hearLoss('t-1 1', 0);
    instance.state.targets.onEvacuationEnded('hall-a', 0);
    for (let i = 0; i < 30; i++) {
      assert.equal(instance.candidates(0), 1);
      assert.equal(instance.coldStart.trySend(0), true);
    }
    assert.equal(instance.retryAfterS(0), undefined);
    assert.equal(instance.state.targets.cold.update(0), 0);
    assert.deepEqual(instance.lines, []);
  }
});

test('a caller is told when the share of this instance allows a request', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({coldLeftMs: 5000}, 0);
  const seconds = [0, 0, 0].map(nowMs => instance.retryAfterS(nowMs) ?? -1);
  assert.ok(Math.abs(seconds[0] - SHARE_MS / 1000) < 0.001);
  // The next one would wait for too long, so it comes for the first place.
  assert.ok(seconds.every(s => s > 0 && s <= 1.5));
});

test('without a share a caller is told the end of the cold time, at most 0.3 s', () => {
  const instance = new TestInstance('other');
  instance.listOwners();
  instance.register({coldLeftMs: 3000}, 0);
  for (let i = 0; i < 20; i++) assert.equal(instance.retryAfterS(0), 0.3);
  assert.equal(instance.retryAfterS(3400), 0.1);
});

test('the loss that a peer tells of makes that incarnation cold, no other', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({startedAtMs: 5}, 0);
  instance.hearLoss('t-1 4', 100);
  assert.equal(instance.coldStart.isCold(100), false);
  instance.hearLoss('t-1 5', 100);
  assert.equal(instance.coldStart.isCold(100), true);
  assert.equal(instance.coldStart.isCold(10_100), false);
});

test('a refused connection that a peer tells of makes the target cold, also at peers that start', () => {
  const instance = new TestInstance();
  instance.register({}, 0);
  const notices = () =>
    noticesForStart(instance.state, 100).filter(n => n.kind === 'refused');
  assert.deepEqual(notices(), []);
  const notice = {kind: 'refused', target: 't-1 1'} as const;
  applyNotice(notice, instance.state, 100);
  assert.equal(instance.coldStart.isCold(100), true);
  assert.deepEqual(notices(), [notice]);
});

test('a registration of a new start replaces a loss, but not what was sent', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({}, 0);
  instance.coldStart.onLost(1000);
  assert.equal(instance.coldStart.trySend(1000), true);
  instance.register({startedAtMs: 2, coldLeftMs: 2000}, 1500);
  assert.equal(instance.candidates(1500), 0);
  assert.equal(instance.candidates(1001 + SHARE_MS), 1);
  assert.equal(instance.coldStart.isCold(4000), false);
});

test('a removed target that is registered again begins without a share', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({coldLeftMs: 9000}, 0);
  const none = {targets: [], storeEra: 0, restoredBefore: 0};
  instance.state.onTargets(none, 2000);
  instance.register({coldLeftMs: 9000}, 3000);
  assert.equal(instance.candidates(3000), 0);
});

test('a registration that the store restored from its copy tells nothing new', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({registeredAt: 50, coldLeftMs: 3000}, 0);
  const restored = {storeEra: 1, restoredBefore: 40};
  instance.register({registeredAt: 30, coldLeftMs: 0}, 1000, restored);
  assert.equal(instance.coldStart.isCold(1000), true);
  instance.register({registeredAt: 41, coldLeftMs: 0}, 2000, restored);
  assert.equal(instance.coldStart.isCold(2000), false);
});

test('targets of a domain whose evacuation ended are cold until renewed twice', () => {
  const instance = new TestInstance();
  instance.listOwners();
  instance.register({}, 0);
  instance.state.targets.onEvacuationEnded('hall-b', 0);
  assert.equal(instance.coldStart.isCold(0), false);
  instance.state.targets.onEvacuationEnded('hall-a', 0);
  instance.register({}, 500);
  assert.equal(instance.coldStart.isCold(500), true);
  instance.register({}, 1000);
  assert.equal(instance.coldStart.isCold(1000), false);
});

test('the log says which targets became cold or warm, and why', () => {
  const instance = new TestInstance('other');
  instance.listOwners();
  const {cold} = instance.state.targets;
  instance.register({coldLeftMs: 3000}, 0);
  assert.equal(cold.update(100), 1);
  assert.equal(cold.update(200), 1);
  assert.equal(cold.update(3500), 0);
  instance.hearLoss('t-1 1', 4000);
  assert.equal(cold.update(4000), 1);
  instance.register({state: TARGET_STATE.leaving, startedAtMs: 2}, 5000);
  assert.equal(cold.update(5000), 0);
  const events = instance.lines.map(line => line.slice(0, 11));
  const kinds = ['target cold', 'target warm', 'target cold', 'target warm'];
  assert.deepEqual(events, kinds);
  assert.match(instance.lines[0], /"reason":"registered","leftMs":3400/);
  assert.match(instance.lines[3], /"reason":"lost"/);
});
