/**
 * A request that crashes each target visits the instances of a fleet again and
 * again, while notices are late and instances restart.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {sampleTarget} from '../../testing/sample_target.js';
import {CrashGuard} from './crash_guard.js';

import type {Quarantine, TargetLoss} from '@applebend/routing';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 300);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261204);
const INSTANCES = 4;
const POISON = 'poison';
/** Longest time until all instances have heard of a loss. */
const MAX_DELAY_MS = 300;
const QUARANTINE_MS = 10 * 60_000;

const log = Logger.create(LOG_LEVEL.error, {});
const instance = fc.nat(INSTANCES - 1);
const delays = fc.array(fc.nat(MAX_DELAY_MS), {
  minLength: INSTANCES,
  maxLength: INSTANCES,
});
const action = fc.oneof(
  fc.record({
    type: fc.constant('visit' as const),
    instance,
    attempts: fc.integer({min: 1, max: 3}),
    delays,
  }),
  fc.record({
    type: fc.constant('restart' as const),
    instances: fc.array(instance, {minLength: 1, maxLength: INSTANCES}),
  }),
  fc.record({
    type: fc.constant('wait' as const),
    ms: fc.integer({min: 1, max: 5000}),
  })
);

interface Delivery {
  readonly atMs: number;
  readonly to: number;
  readonly loss: TargetLoss;
}

/** Instances with their guards, the notices on their way, and the store. */
class GuardedFleet {
  readonly clock = {nowMs: 0, monotonicMs: () => 0, wallMs: () => 0};
  private readonly guards: CrashGuard[] = [];
  private deliveries: Delivery[] = [];
  private readonly saved = new Map<string, Quarantine>();
  private delays: readonly number[] = [];
  /** When each target was lost under the request. */
  readonly crashTimesMs: number[] = [];

  constructor() {
    this.clock.monotonicMs = () => this.clock.nowMs;
    this.clock.wallMs = () => this.clock.nowMs;
    for (let i = 0; i < INSTANCES; i++) this.guards.push(this.createGuard(i));
  }

  async visit(index: number, attempts: number, delaysMs: readonly number[]) {
    this.delays = delaysMs;
    const guard = this.guards[index];
    for (let sent = 0; sent < attempts; sent++) {
      if (guard.quarantineLeftMs(POISON) > 0) return;
      const target = sampleTarget({id: `t-${this.crashTimesMs.length}`});
      this.crashTimesMs.push(this.clock.nowMs);
      const run = {fingerprint: POISON, blocks: [], writingMs: undefined};
      await guard.onReset(target, run);
    }
  }

  /** Restarts instances together; they read the store and ask the others. */
  restart(indexes: readonly number[]): void {
    const others = this.guards.filter((_, i) => !indexes.includes(i));
    for (const index of indexes) {
      const guard = this.createGuard(index);
      for (const quarantine of this.saved.values()) {
        guard.onQuarantine(quarantine);
      }
      for (const other of others) {
        for (const quarantine of other.quarantines()) {
          guard.onQuarantine(quarantine);
        }
        for (const loss of other.suspectedLosses()) guard.onPeerLoss(loss);
      }
      this.guards[index] = guard;
    }
  }

  wait(ms: number): void {
    this.clock.nowMs += ms;
    const due = this.deliveries.filter(({atMs}) => atMs <= this.clock.nowMs);
    this.deliveries = this.deliveries.filter(d => !due.includes(d));
    for (const {to, loss} of due) this.guards[to].onPeerLoss(loss);
  }

  private createGuard(index: number): CrashGuard {
    const guard = CrashGuard.create(log, this.clock, () =>
      Promise.resolve(true)
    );
    guard.onLosses = losses => this.send(index, losses);
    guard.onQuarantined = quarantine =>
      this.saved.set(quarantine.fingerprint, quarantine);
    return guard;
  }

  private send(from: number, losses: readonly TargetLoss[]): void {
    for (const [to, delayMs] of this.delays.entries()) {
      if (to === from) continue;
      const atMs = this.clock.nowMs + delayMs;
      for (const loss of losses) this.deliveries.push({atMs, to, loss});
    }
  }
}

/** No target is lost once all have had the time to hear of the second loss. */
function checkCrashes(timesMs: readonly number[]): void {
  const [, secondMs] = timesMs;
  if (secondMs === undefined) return;
  const late = timesMs.filter(atMs => {
    const sinceMs = atMs - secondMs;
    return sinceMs > MAX_DELAY_MS && sinceMs < QUARANTINE_MS;
  });
  assert.deepEqual(late, [], `lost at ${timesMs.join()}`);
}

test('after two losses no target is lost, whoever is visited or restarts', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(action, {maxLength: 40}), async actions => {
      const fleet = new GuardedFleet();
      for (const step of actions) {
        if (step.type === 'visit') {
          await fleet.visit(step.instance, step.attempts, step.delays);
        } else if (step.type === 'wait') {
          fleet.wait(step.ms);
        } else {
          // What is still on its way to a peer dies with its instance.
          fleet.wait(MAX_DELAY_MS);
          fleet.restart(step.instances);
        }
      }
      checkCrashes(fleet.crashTimesMs);
    }),
    {numRuns: RUNS, seed: SEED}
  );
});
