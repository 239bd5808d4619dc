/**
 * A request that crashes each target visits the instances of a fleet again and
 * again, while notices are late and instances restart.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {GuardedFleet} from '../../testing/guarded_fleet.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 300);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261204);
const INSTANCES = 4;
const POISON = {fingerprint: 'poison', blocks: []};
/** Longest time until all instances have heard of a loss. */
const MAX_DELAY_MS = 300;
const QUARANTINE_MS = 10 * 60_000;

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
      const fleet = new GuardedFleet(INSTANCES);
      for (const step of actions) {
        if (step.type === 'visit') {
          fleet.delays = step.delays;
          for (let sent = 0; sent < step.attempts; sent++) {
            await fleet.crash(step.instance, POISON);
          }
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
