/**
 * A request that crashes every target that runs it is submitted repeatedly
 * through several entries, among harmless requests for the same targets.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Dispatcher} from '../dispatch/dispatcher.js';
import {POLICIES} from '../dispatch/policy.js';

import type {Announcement} from '../dispatch/dispatch_types.js';
import type {DispatchEvent} from '../dispatch/dispatch_events.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 500);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);
const ENTRIES = ['a', 'b'];
const TARGETS = ['t1', 't2', 't3'];
const POISON = 'poison';
const HARMLESS = ['n1', 'n2', 'n3', 'n4'];

const action = fc.oneof(
  fc.record({
    type: fc.constant('submit' as const),
    entry: fc.nat(1),
    fingerprint: fc.constantFrom(POISON, ...HARMLESS),
  }),
  fc.record({type: fc.constant('finish' as const), pick: fc.nat(30)}),
  fc.record({type: fc.constant('crash' as const), pick: fc.nat(30)}),
  fc.record({
    type: fc.constant('wait' as const),
    ms: fc.integer({min: 100, max: 20_000}),
  })
);

interface RunningRequest {
  readonly entry: string;
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
}

/** A dispatcher with two entries that resubmit what a crash interrupted. */
class CellSimulation {
  nowMs = 0;
  losses = 0;
  refused = 0;
  running: RunningRequest[] = [];
  waiting = new Map<string, {entry: string; announcement: Announcement}>();
  private sequence = 0;
  private readonly dispatcher = Dispatcher.create({
    cell: 'cell',
    incarnation: 'd',
    policy: POLICIES.dispatched,
    slots: {
      limits: {
        startSlots: 3,
        maxSlots: 3,
        firstTokenTargetMs: 1e9,
        betweenTokensTargetMs: 1e9,
      },
      shortCallSlots: 0,
    },
    rulesOf: () => ({
      share: 1,
      maxQueued: 1000,
      priority: 5,
      short: false,
      maxWaitMs: 1e9,
    }),
    leaseMs: 1e9,
    wallMs: () => this.nowMs,
  });

  constructor() {
    this.handle({type: 'routers', routers: ENTRIES});
    const targets = TARGETS.map(id => ({id, leaving: false}));
    this.handle({type: 'targets', targets});
    for (const entry of ENTRIES) {
      this.send(entry, {
        type: 'sync',
        cell: 'cell',
        waiting: [],
        held: [],
        marks: [],
      });
    }
  }

  submit(entry: string, fingerprint: string): void {
    this.sequence += 1;
    const announcement: Announcement = {
      requestId: `r${this.sequence}`,
      customer: 'c',
      className: 'x',
      estimate: 1,
      fingerprint,
      affinity: 0,
      avoid: [],
      waitedMs: 0,
    };
    this.waiting.set(announcement.requestId, {entry, announcement});
    this.send(entry, {type: 'enqueue', cell: 'cell', announcement});
  }

  /** Crashes a target; entries report and resubmit all that ran on it. */
  crash(target: string): void {
    this.losses += 1;
    const lost = this.running.filter(job => job.target === target);
    this.running = this.running.filter(job => job.target !== target);
    for (const {entry, grantId} of lost) {
      this.send(entry, {
        type: 'finished',
        cell: 'cell',
        grantId,
        outcome: 'target_lost',
        cost: 0,
      });
    }
    for (const {entry, announcement} of lost) {
      this.submit(entry, announcement.fingerprint);
    }
  }

  finish(job: RunningRequest): void {
    this.running = this.running.filter(other => other !== job);
    const {entry, grantId} = job;
    const outcome = 'answered';
    this.send(entry, {
      type: 'finished',
      cell: 'cell',
      grantId,
      outcome,
      cost: 1,
    });
  }

  private send(
    entry: string,
    message: Extract<DispatchEvent, {type: 'entry_message'}>['message']
  ): void {
    const sentAtMs = this.nowMs;
    this.handle({type: 'entry_message', entry, sentAtMs, message});
  }

  handle(event: DispatchEvent): void {
    for (const {entry, message} of this.dispatcher.handle(event, this.nowMs)) {
      if (message.type === 'resync') continue;
      const request = this.waiting.get(message.requestId)!;
      this.waiting.delete(message.requestId);
      if (message.type === 'refuse') {
        this.refused += 1;
        assert.equal(request.announcement.fingerprint, POISON);
        continue;
      }
      const {grantId, target} = message;
      const {announcement} = request;
      this.running.push({entry, grantId, target, announcement});
    }
  }
}

test('crash fuzz: one fingerprint crashes at most two targets', () => {
  fc.assert(
    fc.property(fc.array(action, {maxLength: 120, size: 'max'}), actions => {
      const cell = new CellSimulation();
      const pickOf = (jobs: readonly RunningRequest[], pick: number) =>
        jobs[pick % Math.max(1, jobs.length)];
      const runningPoison = () =>
        cell.running.filter(j => j.announcement.fingerprint === POISON);
      const runningHarmless = () =>
        cell.running.filter(j => j.announcement.fingerprint !== POISON);
      for (const a of actions) {
        if (a.type === 'submit') {
          cell.submit(ENTRIES[a.entry]!, a.fingerprint);
        } else if (a.type === 'finish') {
          const job = pickOf(runningHarmless(), a.pick);
          if (job !== undefined) cell.finish(job);
        } else if (a.type === 'crash') {
          const job = pickOf(runningPoison(), a.pick);
          if (job !== undefined) cell.crash(job.target);
        } else {
          cell.nowMs += a.ms;
          cell.handle({type: 'tick'});
        }
        assert.ok(cell.losses <= 2, `${cell.losses} targets lost`);
      }
      // Lets everything that waits run, and crashes whatever runs the poison.
      for (let round = 0; round < 500; round++) {
        cell.nowMs += 10_000;
        cell.handle({type: 'tick'});
        for (const job of runningHarmless()) cell.finish(job);
        const job = runningPoison()[0];
        if (job !== undefined) cell.crash(job.target);
      }
      assert.ok(cell.losses <= 2, `${cell.losses} targets lost`);
      const unanswered = [...cell.waiting.values()].filter(
        w => w.announcement.fingerprint !== POISON
      );
      assert.equal(unanswered.length, 0, 'all harmless requests are answered');
    }),
    {numRuns: RUNS, seed: SEED}
  );
});
