import assert from 'node:assert/strict';
import net from 'node:net';
import {test} from 'node:test';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sampleTarget} from '../../testing/sample_target.js';
import {CrashGuard} from './crash_guard.js';
import {RequestCrashes} from './request_crashes.js';
import {fingerprintOf} from './request_fingerprint.js';
import {checkTarget, TARGET_CHECK} from './target_check.js';

import type {EndedRun, SharedRun, Target, TargetLoss} from '@applebend/routing';
import type {AddressInfo} from 'node:net';
import type {RequestContent} from './request_fingerprint.js';

const log = Logger.create(LOG_LEVEL.error, {});

const targetAt = (id: string, port = 9) => sampleTarget({id, port});

const CONTENT: RequestContent = {
  method: 'POST',
  host: 'shop.example',
  url: '/safe/1',
  customer: 'one',
  body: Buffer.from('body'),
};

/** A run without blocks whose connection broke. */
const runOf = (fingerprint: string, writingMs?: number): EndedRun => ({
  fingerprint,
  blocks: [],
  writingMs,
  sentAtMs: 0,
  endedAtMs: 0,
  isBroken: true,
});

/** A guard, its clock, and the losses that it reported. */
function createGuard(isLost: (target: Target) => Promise<boolean>) {
  const clock = {nowMs: 0, monotonicMs: () => clock.nowMs, wallMs: () => 1e12};
  const guard = CrashGuard.create({
    log,
    clock,
    isLeaving: () => false,
    checkTarget: async target =>
      (await isLost(target)) ? TARGET_CHECK.refused : TARGET_CHECK.accepted,
  });
  const reported: TargetLoss[][] = [];
  guard.onLosses = ({losses}) => reported.push([...losses]);
  return {guard, clock, reported};
}

test('all requests that a lost target was running are reported together, once', async () => {
  let checks = 0;
  const {guard, reported} = createGuard(() => {
    checks += 1;
    return Promise.resolve(true);
  });
  const target = targetAt('t-1');
  await Promise.all(
    ['f', 'g', 'f'].map(hash => guard.onRunEnded(target, runOf(hash)))
  );
  assert.equal(checks, 1);
  const fingerprints = reported.map(losses => losses.map(l => l.fingerprint));
  assert.deepEqual(fingerprints, [['f', 'g']]);
});

/** A guard that tells another one of what ended there, and that other one. */
function createPeers() {
  const first = createGuard(() => Promise.resolve(false));
  const second = createGuard(() => Promise.resolve(false));
  first.guard.onUnresolved = run => second.guard.onPeerRun(run);
  return {first, second};
}

test('what ended at an instance that is gone counts when its target is lost', () => {
  const {first, second} = createPeers();
  for (const id of ['t-1', 't-2']) {
    const run = {...runOf('f'), isBroken: false};
    void first.guard.onRunEnded(targetAt(id), run);
    second.guard.onRefused(targetAt(id));
  }
  assert.ok(second.guard.quarantineLeftMs('f') > 0);
  // Each peer finds it by itself.
  assert.deepEqual(second.reported, [[], []]);
});

test('what ran to its end after its caller had left is no suspect at a peer', () => {
  const {first, second} = createPeers();
  const late: SharedRun[] = [];
  first.guard.onUnresolved = run => late.push(run);
  first.guard.onSurvivals = survivals => {
    for (const survival of survivals) second.guard.onPeerSurvival(survival);
  };
  for (const id of ['t-1', 't-2']) {
    const run = {...runOf('f'), isBroken: false};
    void first.guard.onRunEnded(targetAt(id), run);
  }
  second.guard.onPeerRun(late[0]);
  first.clock.nowMs = second.clock.nowMs = 50;
  first.guard.onServed('f');
  second.clock.nowMs = 100;
  second.guard.onPeerRun({...late[1], endedAtMs: 1e12 - 100});
  // Nor does it tell a peer that starts of them.
  assert.deepEqual(second.guard.recentRuns(), []);
  for (const id of ['t-1', 't-2']) second.guard.onRefused(targetAt(id));
  assert.deepEqual(second.guard.suspectedLosses(), []);
});

test('a quarantine ends, and a completed run clears the request', async () => {
  const {guard, clock} = createGuard(() => Promise.resolve(true));
  await guard.onRunEnded(targetAt('t-1'), runOf('f'));
  await guard.onRunEnded(targetAt('t-2'), runOf('f'));
  const leftMs = guard.quarantineLeftMs('f');
  assert.ok(leftMs > 60_000);
  clock.nowMs += leftMs;
  assert.equal(guard.quarantineLeftMs('f'), 0);
  guard.onServed('f');
  assert.equal(guard.isEmpty, true);
});

test('a stream that moved on at two lost targets may go on at a third', async () => {
  const {guard, reported} = createGuard(() => Promise.resolve(true));
  await guard.onRunEnded(targetAt('t-1'), runOf('f', 1000));
  await guard.onRunEnded(targetAt('t-2'), runOf('f', 1000));
  assert.equal(guard.quarantineLeftMs('f'), 0);
  await guard.onRunEnded(targetAt('t-3'), runOf('f'));
  assert.ok(guard.quarantineLeftMs('f') > 0);
  const progress = reported.flat().map(loss => loss.hasProgressed);
  assert.deepEqual(progress, [true, true, false]);
});

test('only what a target began to write shortly before is evidence against blocks', async () => {
  const {guard, reported} = createGuard(() => Promise.resolve(true));
  for (const writingMs of [undefined, 100, 1000]) {
    const run = {...runOf(`f${writingMs}`, writingMs), blocks: ['block:a']};
    await guard.onRunEnded(targetAt(`t-${writingMs}`), run);
  }
  const blocks = reported.flat().map(loss => loss.blocks);
  assert.deepEqual(blocks, [['block:a'], ['block:a'], []]);
});

test('a block that has just run is no suspect, and peers hear of it', async () => {
  const {guard, reported} = createGuard(() => Promise.resolve(true));
  const told: string[] = [];
  guard.onSurvivals = survivals => told.push(...survivals.map(({key}) => key));
  guard.onBlocksRan(['block:a']);
  const run = {...runOf('f'), blocks: ['block:a', 'block:b']};
  await guard.onRunEnded(targetAt('t-1'), run);
  assert.deepEqual(reported.flat()[0].blocks, ['block:b']);
  const loss = {fingerprint: 'g', target: 't-2', seenAtMs: 1e12};
  guard.onPeerLoss({...loss, blocks: ['block:a']});
  guard.onPeerLoss({...loss, fingerprint: 'h', blocks: ['block:a']});
  assert.deepEqual(told, ['block:a']);
});

test('peers that suspect a block hear that it runs here later', () => {
  const {guard} = createGuard(() => Promise.resolve(true));
  const told: string[] = [];
  guard.onSurvivals = survivals => told.push(...survivals.map(({key}) => key));
  const loss = {fingerprint: 'g', target: 't-2', seenAtMs: 1e12};
  guard.onPeerLoss({...loss, blocks: ['block:a', 'block:b']});
  assert.deepEqual(told, []);
  guard.onBlocksRan(['block:a']);
  guard.onBlocksRan(['block:a']);
  assert.deepEqual(told, ['block:a']);
});

test('a request that runs to its end at a peer between two losses is not quarantined', async () => {
  const here = createGuard(() => Promise.resolve(true));
  const peer = createGuard(() => Promise.resolve(true));
  peer.guard.onSurvivals = survivals =>
    survivals.forEach(survival => here.guard.onPeerSurvival(survival));
  await here.guard.onRunEnded(targetAt('t-1'), runOf('f'));
  for (const loss of here.reported.flat()) peer.guard.onPeerLoss(loss);
  here.clock.nowMs += 100;
  peer.guard.onServed('f');
  assert.equal(here.guard.isEmpty, true);
  await here.guard.onRunEnded(targetAt('t-2'), runOf('f'));
  assert.equal(here.guard.quarantineLeftMs('f'), 0);
});

test('a loss that a peer repeats after the request ran to its end is none', async () => {
  const {guard, clock} = createGuard(() => Promise.resolve(true));
  const loss = {fingerprint: 'f', target: 't-1', seenAtMs: 1e12};
  guard.onPeerLoss(loss);
  clock.nowMs += 100;
  guard.onPeerSurvival({key: 'f', ageMs: 0});
  guard.onPeerLoss({...loss, seenAtMs: 1e12 - 50});
  assert.equal(guard.isEmpty, true);
});

test('a loss after a request ran at a peer is not taken back', async () => {
  const {guard, clock} = createGuard(() => Promise.resolve(true));
  await guard.onRunEnded(targetAt('t-1'), runOf('f'));
  clock.nowMs += 1000;
  const late = {...runOf('f'), sentAtMs: 990, endedAtMs: 1000};
  await guard.onRunEnded(targetAt('t-2'), late);
  await guard.onRunEnded(targetAt('t-3'), {...late, endedAtMs: 1000});
  guard.onPeerSurvival({key: 'f', ageMs: 500});
  assert.ok(guard.quarantineLeftMs('f') > 0);
});

test('a quarantine ends where word of a run between its losses comes late', async () => {
  const {guard, clock} = createGuard(() => Promise.resolve(true));
  await guard.onRunEnded(targetAt('t-1'), runOf('f'));
  clock.nowMs += 1000;
  const late = {...runOf('f'), sentAtMs: 990, endedAtMs: 1000};
  await guard.onRunEnded(targetAt('t-2'), late);
  assert.ok(guard.quarantineLeftMs('f') > 0);
  guard.onPeerSurvival({key: 'f', ageMs: 500});
  assert.equal(guard.quarantineLeftMs('f'), 0);
  await guard.onRunEnded(targetAt('t-3'), late);
  assert.ok(guard.quarantineLeftMs('f') > 0);
});

test('a target that is alive is no loss', async () => {
  const {guard, reported} = createGuard(() => Promise.resolve(false));
  await guard.onRunEnded(targetAt('t-1'), runOf('f'));
  assert.equal(guard.isEmpty, true);
  assert.deepEqual(reported, []);
});

test('a target is lost if nothing listens at its address', async () => {
  const server = net.createServer(socket => socket.destroy());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  assert.equal(await checkTarget(targetAt('t-1', port)), TARGET_CHECK.accepted);
  await new Promise(resolve => server.close(resolve));
  assert.equal(await checkTarget(targetAt('t-1', port)), TARGET_CHECK.refused);
});

test('requests that differ in any part have different fingerprints', () => {
  const changes: Partial<RequestContent>[] = [
    {},
    {method: 'GET'},
    {host: 'other.example'},
    {url: '/safe/2'},
    {customer: 'two'},
    {customer: undefined},
    {body: Buffer.from('other')},
    {body: undefined},
  ];
  const hashes = changes.map(change => fingerprintOf({...CONTENT, ...change}));
  assert.equal(new Set(hashes).size, changes.length);
  for (const host of ['SHOP.example', 'shop.example:8080']) {
    assert.equal(fingerprintOf({...CONTENT, host}), hashes[0]);
  }
});

test('the content of a request is hashed only if something is suspected', async () => {
  const {guard} = createGuard(() => Promise.resolve(true));
  const crashes = RequestCrashes.create(guard, CONTENT);
  assert.equal(crashes.quarantineLeftMs, 0);
  assert.equal(crashes.knownFingerprint, undefined);
  await guard.onRunEnded(targetAt('t-1'), runOf('f'));
  assert.equal(crashes.quarantineLeftMs, 0);
  assert.equal(crashes.knownFingerprint, fingerprintOf(CONTENT));
});
