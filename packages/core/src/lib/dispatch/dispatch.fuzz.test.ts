import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {INSTANCES, TARGETS} from './testing/fleet_settings.js';
import {fault, step} from './testing/fleet_steps.js';
import {SimulatedFleet} from './testing/simulated_fleet.js';

import type {Step} from './testing/fleet_steps.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 300);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);

type Handlers = {
  [T in Step['type']]: (
    fleet: SimulatedFleet,
    s: Extract<Step, {type: T}>
  ) => void;
};

const HANDLERS: Handlers = {
  submit: (fleet, s) => fleet.submit(s),
  deliver: (fleet, s) => void fleet.deliver(s.pick),
  finish: (fleet, s) => void fleet.finish(s.pick, s.cost, s.outcome),
  cancel: (fleet, s) => {
    const all = [...fleet.open];
    const chosen = all[s.pick % Math.max(1, all.length)];
    if (chosen === undefined) return;
    const [requestId, entry] = chosen;
    fleet.open.delete(requestId);
    fleet.handleEntryEvent(entry, {type: 'cancel', requestId});
  },
  progress: (fleet, s) => {
    const all = [...fleet.running.values()];
    const job = all[s.pick % Math.max(1, all.length)];
    if (job === undefined) return;
    const {grantId, entry} = job;
    fleet.handleEntryEvent(entry, {type: 'progress', grantId, cost: s.cost});
  },
  wait: (fleet, s) => {
    fleet.nowMs += s.ms;
  },
  break_link: (fleet, s) => fleet.breakLink(INSTANCES[s.a]!, INSTANCES[s.b]!),
  set_dispatcher: (fleet, s) =>
    fleet.setDispatcher(INSTANCES[s.entry]!, INSTANCES[s.peer]!, true),
  crash: (fleet, s) => fleet.crash(INSTANCES[s.entry]!),
  /** Reports an entry as ended to all instances except its dispatcher. */
  confirm_left: (fleet, s) => {
    const id = INSTANCES[s.entry]!;
    const dispatcher = fleet.entries.get(id)!.currentDispatcher?.peer;
    for (const other of INSTANCES) {
      if (other === id || other === dispatcher) continue;
      fleet.handleDispatchEvent(other, {type: 'entry_ended', entry: id});
    }
  },
  lose_target: (fleet, s) => {
    const target = TARGETS[s.target]!;
    for (const [grantId, job] of fleet.running) {
      if (job.target !== target) continue;
      fleet.running.delete(grantId);
      const outcome = 'target_lost';
      fleet.handleEntryEvent(job.entry, {
        type: 'finish',
        grantId,
        outcome,
        cost: 1,
      });
    }
  },
  leave_target: (fleet, s) => {
    const target = TARGETS[s.target]!;
    if (s.leaving) fleet.leaving.add(target);
    else fleet.leaving.delete(target);
    fleet.publishTargets();
  },
};

/**
 * Checks the limits after each step. Then lets every request finish and checks
 * that no request, slot or queue is left over.
 */
function runSteps(steps: readonly Step[], withFaults: boolean): void {
  const fleet = new SimulatedFleet();
  fleet.withFaults = withFaults;
  for (const s of steps) {
    const handler = HANDLERS[s.type] as (f: SimulatedFleet, s: Step) => void;
    handler(fleet, s);
    fleet.checkLimits();
  }
  fleet.settle();
  assert.equal(fleet.open.size, 0, 'requests are still open');
  for (const target of TARGETS) assert.equal(fleet.runningOn(target), 0);
  const {held, ghosts, queued} = fleet.dispatchers.get('a')!.stats;
  assert.deepEqual({held, ghosts, queued}, {held: 0, ghosts: 0, queued: 0});
}

test('dispatch fuzz: delayed and crossing messages, without faults', () => {
  const steps = fc.array(step, {minLength: 1, maxLength: 250, size: 'max'});
  fc.assert(
    fc.property(steps, s => runSteps(s, false)),
    {numRuns: RUNS, seed: SEED}
  );
});

test('dispatch fuzz: crashes, broken links, takeovers, two dispatchers', () => {
  const steps = fc.array(
    fc.oneof({weight: 8, arbitrary: step}, {weight: 1, arbitrary: fault}),
    {minLength: 1, maxLength: 250, size: 'max'}
  );
  fc.assert(
    fc.property(steps, s => runSteps(s, true)),
    {numRuns: RUNS, seed: SEED}
  );
});
