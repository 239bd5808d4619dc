import assert from 'node:assert/strict';
import {test} from 'node:test';
import {incarnationOf} from '@applebend/routing';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sampleTarget} from '../../testing/sample_target.js';
import {LOSS_SIGNAL, LossDetector} from './loss_detector.js';
import {TARGET_CHECK} from './target_check.js';

import type {EndedRun} from '@applebend/routing';
import type {LossSignal, LostTarget} from './loss_detector.js';
import type {TargetCheck} from './target_check.js';

const target = sampleTarget({id: 't-1', port: 7001});
const incarnation = incarnationOf(target);

/** A detector whose time, timers and checks a test sets. */
class TestDetector {
  nowMs = 1000;
  check: TargetCheck = TARGET_CHECK.accepted;
  checks = 0;
  isLeaving = false;
  readonly lost: LostTarget[] = [];
  private timers: {atMs: number; callback: () => void}[] = [];
  readonly detector = LossDetector.create({
    log: Logger.create(LOG_LEVEL.error, {}),
    nowMs: () => this.nowMs,
    isLeaving: () => this.isLeaving,
    onLost: lost => this.lost.push(lost),
    onCheckResult: () => (this.checks += 1),
    checkTarget: async () => this.check,
    startTimer: (callback, delayMs) =>
      this.timers.push({atMs: this.nowMs + delayMs, callback}),
  });

  /** A request that ends now. */
  end(fingerprint: string, isBroken = false): Promise<void> {
    const {nowMs} = this;
    const times = {sentAtMs: nowMs - 30, endedAtMs: nowMs};
    const rest = {blocks: [], writingMs: undefined, ...times, isBroken};
    return this.detector.onRunEnded(target, {fingerprint, ...rest});
  }

  async wait(ms: number): Promise<void> {
    const untilMs = this.nowMs + ms;
    for (;;) {
      this.timers.sort((a, b) => a.atMs - b.atMs);
      const next = this.timers[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.timers.shift();
      this.nowMs = next.atMs;
      next.callback();
      await new Promise(setImmediate);
    }
    this.nowMs = untilMs;
    await new Promise(setImmediate);
  }

  get suspects(): string[] {
    return this.lost.flatMap(({suspects}) => names(suspects));
  }

  get signals(): LossSignal[] {
    return this.lost.map(({signal}) => signal);
  }
}

const names = (runs: readonly EndedRun[]) =>
  runs.map(({fingerprint}) => fingerprint);

/** What shows that a target is lost at which a request was aborted. */
const SIGNALS: Readonly<Record<string, (test: TestDetector) => void>> = {
  [LOSS_SIGNAL.refused]: ({detector}) => detector.onRefused(target),
  [LOSS_SIGNAL.wrongTarget]: ({detector}) => detector.onWrongTarget(target),
  [LOSS_SIGNAL.peer]: ({detector}) => detector.onPeerLoss(incarnation),
  [LOSS_SIGNAL.replaced]: ({detector}) =>
    detector.onTargets([{...target, id: 't-2', registeredAt: 2}]),
  [LOSS_SIGNAL.removed]: rig => {
    rig.check = TARGET_CHECK.unknown;
    rig.detector.onTargets([]);
  },
};

for (const [signal, show] of Object.entries(SIGNALS)) {
  test(`an aborted request is suspected when its target is lost: ${signal}`, async () => {
    const rig = new TestDetector();
    rig.detector.onTargets([target]);
    await rig.end('aborted');
    await rig.wait(2000);
    assert.deepEqual(rig.lost, []);
    show(rig);
    await rig.wait(0);
    assert.deepEqual(rig.signals, [signal]);
    assert.deepEqual(rig.suspects, ['aborted']);
  });
}

test('a target that accepts for some time after it broke a connection is lost', async () => {
  const rig = new TestDetector();
  await rig.end('broken', true);
  assert.deepEqual([rig.checks, rig.lost.length], [1, 0]);
  rig.check = TARGET_CHECK.refused;
  await rig.wait(100);
  assert.deepEqual(rig.suspects, ['broken']);
  await rig.wait(5000);
  assert.equal(rig.checks, 2);
});

test('a target that answers a later request is not checked any more', async () => {
  const rig = new TestDetector();
  await rig.end('broken', true);
  rig.detector.onAlive(incarnation, rig.nowMs + 1, rig.nowMs + 5);
  rig.check = TARGET_CHECK.refused;
  await rig.wait(5000);
  assert.deepEqual([rig.checks, rig.lost.length], [1, 0]);
});

test('a target that neither answers nor refuses is checked five times', async () => {
  const rig = new TestDetector();
  rig.check = TARGET_CHECK.unknown;
  await rig.end('broken', true);
  await rig.wait(60_000);
  assert.deepEqual([rig.checks, rig.lost.length], [5, 0]);
});

test('what ends at a lost target later is suspected at once', async () => {
  const rig = new TestDetector();
  rig.detector.onRefused(target);
  await rig.end('running');
  assert.deepEqual(rig.suspects, ['running']);
  assert.equal(rig.lost[1].isNews, false);
});

test('what was aborted at a leaving target is not suspected when it ends', async () => {
  const rig = new TestDetector();
  rig.isLeaving = true;
  await rig.end('aborted');
  await rig.end('broken', true);
  rig.detector.onRefused(target);
  assert.deepEqual(rig.suspects, ['broken']);
});

test('a target that is removed and still accepts is not lost', async () => {
  const rig = new TestDetector();
  rig.detector.onTargets([target]);
  await rig.end('aborted');
  rig.detector.onTargets([]);
  await rig.wait(0);
  rig.detector.onRefused(target);
  assert.deepEqual(rig.suspects, []);
});

test('a loss that a peer repeats is reported once', async () => {
  const rig = new TestDetector();
  rig.detector.onPeerLoss(incarnation);
  await rig.wait(200);
  rig.detector.onPeerLoss(incarnation);
  assert.equal(rig.lost.length, 1);
});

test('a target that answered after a false report is not lost by a later end', async () => {
  const rig = new TestDetector();
  rig.detector.onPeerLoss(incarnation);
  const sentAtMs = rig.nowMs - 100;
  await rig.wait(3500);
  rig.detector.onAlive(incarnation, rig.nowMs - 200, rig.nowMs - 100);
  const run = {fingerprint: 'left', blocks: [], writingMs: 3000, sentAtMs};
  const end = {endedAtMs: rig.nowMs, isBroken: false};
  await rig.detector.onRunEnded(target, {...run, ...end});
  assert.deepEqual(rig.signals, [LOSS_SIGNAL.peer]);
});
