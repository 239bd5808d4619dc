import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Dispatcher} from './dispatcher.js';
import {DispatcherClient} from './dispatcher_client.js';
import {POLICIES} from './policy.js';

import type {
  Announcement,
  DispatcherMessage,
  EntryMessage,
  QueueRules,
  SlotOutcome,
} from './dispatch_types.js';
import type {DispatchCommand, DispatchEvent} from './dispatch_events.js';
import type {
  DispatcherClientCommand,
  DispatcherClientEvent,
} from './dispatcher_client.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 300);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);
const INSTANCES = ['a', 'b', 'c'];
const TARGETS = ['t1', 't2'];
const SLOTS = 3;
const SHORT_CALL_SLOTS = 1;
const LEASE_MS = 1000;
const SHARES: Record<string, number> = {large: 4, small: 1, tiny: 0.5};
const CUSTOMERS = Object.keys(SHARES);
const MAX_COST = 400;
/** The longest ejection of a lost target. */
const MAX_EJECTION_MS = 8000;

const rulesOf = (customer: string, className: string): QueueRules => ({
  share: SHARES[customer] ?? 1,
  maxQueued: 40,
  priority: className === 'check' ? 1 : 5,
  short: className === 'check',
  maxWaitMs: 500,
});

const step = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      entry: fc.nat(2),
      customer: fc.constantFrom(...CUSTOMERS),
      className: fc.constantFrom('check', 'layout'),
      estimate: fc.integer({min: 1, max: MAX_COST}),
    }),
  },
  {
    weight: 30,
    arbitrary: fc.record({
      type: fc.constant('deliver' as const),
      pick: fc.nat(50),
    }),
  },
  {
    weight: 12,
    arbitrary: fc.record({
      type: fc.constant('finish' as const),
      pick: fc.nat(50),
      cost: fc.integer({min: 1, max: MAX_COST}),
      outcome: fc.constantFrom<SlotOutcome>('answered', 'answered', 'failed'),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('cancel' as const),
      pick: fc.nat(50),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('progress' as const),
      pick: fc.nat(50),
      cost: fc.integer({min: 1, max: MAX_COST}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      type: fc.constant('wait' as const),
      ms: fc.integer({min: 1, max: 3000}),
    }),
  }
);

const fault = fc.oneof(
  fc.record({
    type: fc.constant('break_link' as const),
    a: fc.nat(2),
    b: fc.nat(2),
  }),
  fc.record({
    type: fc.constant('set_dispatcher' as const),
    entry: fc.nat(2),
    peer: fc.nat(2),
  }),
  fc.record({type: fc.constant('crash' as const), entry: fc.nat(2)}),
  fc.record({type: fc.constant('confirm_left' as const), entry: fc.nat(2)}),
  fc.record({type: fc.constant('lose_target' as const), target: fc.nat(1)}),
  fc.record({
    type: fc.constant('leave_target' as const),
    target: fc.nat(1),
    leaving: fc.boolean(),
  })
);

type Step =
  | (typeof step extends fc.Arbitrary<infer S> ? S : never)
  | (typeof fault extends fc.Arbitrary<infer F> ? F : never);

/** Messages under way in one direction over one session of a link. */
interface Channel {
  readonly from: string;
  readonly to: string;
  readonly session: number;
  readonly toDispatcher: boolean;
  readonly queue: {
    sentAtMs: number;
    message: EntryMessage | DispatcherMessage;
  }[];
}

interface RunningRequest {
  readonly entry: string;
  readonly grantId: string;
  readonly target: string;
  readonly announcement: Announcement;
}

/**
 * Simulates entries and dispatchers that exchange messages over an unreliable
 * network, and checks them against a record of the requests that really run
 * on each target.
 */
class Fleet {
  nowMs = 0;
  /** Difference between each entry's clock and the dispatchers' clock. */
  readonly clockSkewMs = new Map(INSTANCES.map((id, i) => [id, i * 12345]));
  readonly entries = new Map<string, DispatcherClient>();
  readonly dispatchers = new Map<string, Dispatcher>();
  /** Link of two instances to the number of times that it was replaced. */
  readonly sessions = new Map<string, number>();
  channels: Channel[] = [];
  /** By grant id. */
  readonly running = new Map<string, RunningRequest>();
  /** Requests not started, refused or cancelled yet, with their entries. */
  readonly open = new Map<string, string>();
  /** All requests so far, by id. */
  readonly submitted = new Map<string, Announcement>();
  readonly leaving = new Set<string>();
  /** The target on which each request was last granted a slot. */
  readonly lastTargets = new Map<string, string>();
  readonly targetsByGrant = new Map<string, string>();
  /**
   * Requests granted a slot on a target before its loss was reported. They run
   * apart from each other, so a slot may stay free while they wait.
   */
  readonly suspects = new Set<string>();
  /** Weighted tokens of finished requests, by customer. */
  readonly served = new Map<string, number>();
  private sequence = 0;
  private incarnations = 0;

  constructor() {
    for (const id of INSTANCES) this.start(id);
    for (const entry of INSTANCES) this.setDispatcher(entry, 'a', false);
  }

  start(id: string): void {
    this.incarnations += 1;
    this.entries.set(id, DispatcherClient.create('cell'));
    const dispatcher = Dispatcher.create({
      cell: 'cell',
      incarnation: `${id}${this.incarnations}`,
      policy: POLICIES.dispatched,
      slots: {
        limits: {
          startSlots: SLOTS,
          maxSlots: SLOTS,
          firstTokenTargetMs: 1e9,
          betweenTokensTargetMs: 1e9,
        },
        shortCallSlots: SHORT_CALL_SLOTS,
      },
      rulesOf,
      leaseMs: LEASE_MS,
      wallMs: () => this.nowMs,
    });
    this.dispatchers.set(id, dispatcher);
    dispatcher.handle({type: 'routers', routers: INSTANCES}, this.nowMs);
    this.publishTargets();
  }

  publishTargets(): void {
    const targets = TARGETS.map(id => ({id, leaving: this.leaving.has(id)}));
    for (const id of this.dispatchers.keys()) {
      this.handleDispatchEvent(id, {type: 'targets', targets});
    }
  }

  clockOf(entry: string): number {
    return this.nowMs + (this.clockSkewMs.get(entry) ?? 0);
  }

  handleEntryEvent(entry: string, event: DispatcherClientEvent): void {
    const client = this.entries.get(entry)!;
    for (const command of client.handle(event, this.clockOf(entry))) {
      this.onEntryCommand(entry, command);
    }
  }

  handleDispatchEvent(id: string, event: DispatchEvent): void {
    const dispatcher = this.dispatchers.get(id)!;
    for (const command of dispatcher.handle(event, this.nowMs)) {
      this.onDispatchCommand(id, command);
    }
    assert.equal(
      dispatcher.stats.fairnessViolations,
      0,
      'the fairness bound must hold'
    );
  }

  onEntryCommand(entry: string, command: DispatcherClientCommand): void {
    if (command.type === 'send') {
      const {peer, session} = command.dispatcher;
      this.channel(entry, peer, session, true)?.queue.push({
        sentAtMs: this.clockOf(entry),
        message: command.message,
      });
    } else if (command.type === 'refused') {
      assert.ok(
        this.open.delete(command.requestId),
        'a refused request must be open'
      );
    } else {
      const {requestId, grantId, target, expiresAtMs} = command;
      assert.ok(this.open.delete(requestId), 'a started request must be open');
      assert.ok(
        this.clockOf(entry) <= expiresAtMs,
        'a request must start within its lease'
      );
      const announcement = this.submitted.get(requestId)!;
      this.running.set(grantId, {entry, grantId, target, announcement});
    }
  }

  onDispatchCommand(id: string, {entry, message}: DispatchCommand): void {
    if (message.type === 'grant') {
      assert.ok(
        !this.leaving.has(message.target),
        'a leaving target must get no grants'
      );
      this.lastTargets.set(message.requestId, message.target);
      this.targetsByGrant.set(message.grantId, message.target);
    }
    const session = this.sessions.get(linkOf(id, entry)) ?? 0;
    this.channel(id, entry, session, false)?.queue.push({
      sentAtMs: this.nowMs,
      message,
    });
  }

  /** Returns undefined if the link has ended; its messages are lost. */
  channel(
    from: string,
    to: string,
    session: number,
    toDispatcher: boolean
  ): Channel | undefined {
    if ((this.sessions.get(linkOf(from, to)) ?? 0) !== session)
      return undefined;
    let channel = this.channels.find(
      c => c.from === from && c.to === to && c.toDispatcher === toDispatcher
    );
    if (channel === undefined) {
      channel = {from, to, session, toDispatcher, queue: []};
      this.channels.push(channel);
    }
    return channel;
  }

  setDispatcher(entry: string, peer: string, notifyPrevious: boolean): void {
    const session = this.sessions.get(linkOf(entry, peer)) ?? 0;
    const dispatcher = {peer, session};
    this.handleEntryEvent(entry, {
      type: 'set_dispatcher',
      dispatcher,
      notifyPrevious,
    });
  }

  /** Replaces the link between two instances by a new one. */
  breakLink(a: string, b: string): void {
    if (a === b) return;
    const link = linkOf(a, b);
    this.sessions.set(link, (this.sessions.get(link) ?? 0) + 1);
    this.channels = this.channels.filter(c => linkOf(c.from, c.to) !== link);
    this.handleDispatchEvent(a, {type: 'entry_silent', entry: b});
    this.handleDispatchEvent(b, {type: 'entry_silent', entry: a});
    for (const [entry, other] of [
      [a, b],
      [b, a],
    ] as const) {
      if (this.entries.get(entry)?.currentDispatcher?.peer === other) {
        this.setDispatcher(entry, other, false);
      }
    }
  }

  /** Delivers the first message of one channel; false if there is none. */
  deliver(pick: number): boolean {
    const full = this.channels.filter(c => c.queue.length > 0);
    const channel = full[pick % Math.max(1, full.length)];
    const item = channel?.queue.shift();
    if (channel === undefined || item === undefined) return false;
    const {from, to, session} = channel;
    if (channel.toDispatcher) {
      this.recordLoss(item.message as EntryMessage);
      this.handleDispatchEvent(to, {
        type: 'entry_message',
        entry: from,
        sentAtMs: item.sentAtMs,
        message: item.message as EntryMessage,
      });
    } else {
      const dispatcher = {peer: from, session};
      const message = item.message as DispatcherMessage;
      this.handleEntryEvent(to, {
        type: 'dispatcher_message',
        dispatcher,
        message,
      });
    }
    return true;
  }

  /** Marks all requests last granted on a target reported lost as suspects. */
  recordLoss(message: EntryMessage): void {
    if (message.type !== 'finished' || message.outcome !== 'target_lost')
      return;
    const lost = this.targetsByGrant.get(message.grantId);
    for (const [requestId, target] of this.lastTargets) {
      if (target === lost) this.suspects.add(requestId);
    }
  }

  submit(s: Extract<Step, {type: 'submit'}>): void {
    this.sequence += 1;
    const requestId = `r${this.sequence}`;
    const announcement: Announcement = {
      requestId,
      customer: s.customer,
      className: s.className,
      estimate: s.estimate,
      fingerprint: requestId,
      affinity: 0,
      avoid: [],
      waitedMs: 0,
    };
    const entry = INSTANCES[s.entry]!;
    this.submitted.set(requestId, announcement);
    this.open.set(requestId, entry);
    this.handleEntryEvent(entry, {type: 'submit', announcement});
  }

  /** Ends one running request; false if none is running. */
  finish(pick: number, cost: number, outcome: SlotOutcome): boolean {
    const all = [...this.running.values()];
    const job = all[pick % Math.max(1, all.length)];
    if (job === undefined) return false;
    this.running.delete(job.grantId);
    const {customer} = job.announcement;
    this.served.set(customer, (this.served.get(customer) ?? 0) + cost);
    const {grantId} = job;
    this.handleEntryEvent(job.entry, {type: 'finish', grantId, outcome, cost});
    return true;
  }

  /**
   * Restarts an instance. Its running requests end with the process, which
   * closes their connections.
   */
  crash(id: string): void {
    for (const [grantId, job] of this.running) {
      if (job.entry === id) this.running.delete(grantId);
    }
    for (const [requestId, entry] of this.open) {
      if (entry === id) this.open.delete(requestId);
    }
    this.start(id);
    this.channels = this.channels.filter(c => c.from !== id && c.to !== id);
    for (const other of INSTANCES) this.breakLink(id, other);
    for (const other of INSTANCES) {
      if (other !== id)
        this.handleDispatchEvent(other, {type: 'entry_ended', entry: id});
    }
    this.setDispatcher(id, id, false);
  }

  runningOn(target: string): number {
    return [...this.running.values()].filter(j => j.target === target).length;
  }

  /** Ends all faults and lets every request finish. */
  settle(): void {
    this.leaving.clear();
    for (const entry of INSTANCES) this.setDispatcher(entry, 'a', true);
    while (this.deliver(0)) this.checkLimits();
    this.nowMs += MAX_EJECTION_MS;
    this.publishTargets();
    for (let round = 0; round < 10_000; round++) {
      this.nowMs += 10;
      for (const entry of INSTANCES) {
        const sentAtMs = this.clockOf(entry);
        this.handleDispatchEvent('a', {type: 'entry_seen', entry, sentAtMs});
      }
      while (this.deliver(0)) this.checkLimits();
      if (round > 1) this.checkNoIdleSlot();
      if (!this.finish(0, 10, 'answered') && this.open.size === 0) return;
      while (this.deliver(0)) this.checkLimits();
    }
  }

  /** Checks the number of running requests against the limit of each target. */
  checkLimits(): void {
    for (const target of TARGETS) {
      const maxRunning = SLOTS + SHORT_CALL_SLOTS;
      assert.ok(
        this.runningOn(target) <= maxRunning * this.maxDispatchers(),
        'a target must not exceed its limit'
      );
    }
  }

  /** The most dispatchers that may have granted the same slots. */
  maxDispatchers(): number {
    return this.withFaults ? INSTANCES.length : 1;
  }

  withFaults = false;

  /** Checks that requests wait only while the slots of all targets are held. */
  checkNoIdleSlot(): void {
    const {held} = this.dispatchers.get('a')!.stats;
    const runnable = [...this.open.keys()].filter(
      requestId => !this.suspects.has(requestId)
    );
    if (runnable.length === 0) return;
    assert.ok(
      held >= SLOTS * TARGETS.length,
      'no slot may be free while a request could run'
    );
  }
}

function linkOf(a: string, b: string): string {
  return a < b ? `${a}-${b}` : `${b}-${a}`;
}

type Handlers = {
  [T in Step['type']]: (fleet: Fleet, s: Extract<Step, {type: T}>) => void;
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

function runSteps(steps: readonly Step[], withFaults: boolean): void {
  const fleet = new Fleet();
  fleet.withFaults = withFaults;
  for (const s of steps) {
    const handler = HANDLERS[s.type] as (f: Fleet, s: Step) => void;
    handler(fleet, s);
    fleet.checkLimits();
  }
  fleet.settle();
  assert.equal(
    fleet.open.size,
    0,
    'every request must be started, refused or cancelled'
  );
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
