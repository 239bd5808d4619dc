import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import fc from 'fast-check';
import {ColdOwners} from '../membership/cold_owners.js';
import {ColdStart, coldShareOf} from './cold_start.js';

/**
 * A target that is registered as cold, gets ready, ends and returns cold under
 * the same id, while instances end, start, join, and are cut off from the store
 * and from each other. Requests come to all instances at once, with pauses in
 * which shares are saved up.
 */
const STEP_MS = 20;
/** Requests come for this long between two pauses. */
const BUSY_MS = 1000;
const COLD_MS = 4000;
const END_MS = 14_000;
/** An instance reads the registrations this often. */
const MAX_READ_MS = 1100;
/** An instance reads a change of the instance list within this time. */
const MAX_LIST_READ_MS = 2600;
const TARGET = 't-1';

interface Model {
  readonly instances: number;
  /** Instances that register while the target is cold. */
  readonly joining: number;
  readonly ratePerS: number;
  readonly overage: number;
  readonly slack: number;
  readonly lostAtMs: number;
  readonly downMs: number;
  readonly registrationDelayMs: number;
  /** Fractions of instances that are cut off from the store, or restart. */
  readonly cutOff: number;
  readonly restarting: number;
  /** Whether those restart together, and when the first or all of them do. */
  readonly restartTogether: boolean;
  readonly restartMs: number;
  readonly pauseMs: number;
  readonly seed: number;
}

const model: fc.Arbitrary<Model> = fc.record({
  instances: fc.integer({min: 1, max: 40}),
  joining: fc.integer({min: 0, max: 8}),
  ratePerS: fc.double({min: 0.5, max: 30, noNaN: true}),
  overage: fc.double({min: 1, max: 2, noNaN: true}),
  slack: fc.double({min: 1, max: 12, noNaN: true}),
  lostAtMs: fc.integer({min: 1500, max: 6500}),
  downMs: fc.integer({min: 100, max: 2500}),
  registrationDelayMs: fc.integer({min: 0, max: 800}),
  cutOff: fc.constantFrom(0, 0, 0.2, 0.6),
  restarting: fc.constantFrom(0, 0.3, 1),
  restartTogether: fc.boolean(),
  restartMs: fc.integer({min: 0, max: 9000}),
  pauseMs: fc.integer({min: 0, max: 1500}),
  seed: fc.integer({min: 1, max: 1e9}),
});

interface Registration {
  readonly registeredAt: number;
  readonly startedAtMs: number;
  readonly writtenMs: number;
  readonly coldUntilMs: number;
}

/** One instance, with what it knows of the target. */
class Instance {
  private coldStart: ColdStart | undefined;
  private startedAtMs = -1;
  private owners: ColdOwners;
  private readonly readOffsetMs: number;
  private listReadMs = -Infinity;
  downUntilMs = -Infinity;
  isCutOff = false;
  /** When the loss was that it heard of. */
  private lostHeardMs = -Infinity;

  constructor(
    readonly id: string,
    private readonly fleet: Fleet
  ) {
    this.owners = ColdOwners.create(id, false);
    this.readOffsetMs = fleet.random.int(0, MAX_READ_MS);
  }

  /** Ends, and starts again with what the store and its peers tell. */
  restart(downMs: number, nowMs: number): void {
    this.downUntilMs = nowMs + downMs;
    this.coldStart = undefined;
    this.startedAtMs = -1;
    this.lostHeardMs = -Infinity;
    this.owners = ColdOwners.create(this.id, false);
    this.listReadMs = -Infinity;
  }

  onLost(lostAtMs: number, nowMs: number): void {
    if (this.coldStart === undefined || this.lostHeardMs === lostAtMs) return;
    if (this.startedAtMs > lostAtMs) return;
    this.lostHeardMs = lostAtMs;
    this.coldStart.onLost(nowMs);
  }

  /** Reads what is due; sends as much as it may. Returns what it sent. */
  step(nowMs: number): number {
    if (nowMs < this.downUntilMs) return 0;
    const isStart = this.listReadMs === -Infinity;
    // An instance that starts reads the store; it is not ready without it.
    if (isStart || !this.isCutOff) {
      if (isStart || nowMs - this.listReadMs >= MAX_LIST_READ_MS) {
        // The times at which instances read the list differ.
        const {random, listed} = this.fleet;
        this.listReadMs = nowMs - random.int(0, isStart ? MAX_LIST_READ_MS : 0);
        this.owners.add(listed, nowMs);
        if (!listed.includes(this.id)) this.fleet.list(this.id);
      }
      if (isStart || (nowMs + this.readOffsetMs) % MAX_READ_MS < STEP_MS) {
        this.onRegistration(nowMs);
      }
    }
    if (isStart) this.fleet.tellOfLoss(this, nowMs);
    return this.send(nowMs);
  }

  private onRegistration(nowMs: number): void {
    const {registration} = this.fleet;
    if (registration === undefined) return;
    const {registeredAt, startedAtMs, writtenMs, coldUntilMs} = registration;
    if (this.startedAtMs !== startedAtMs) {
      this.coldStart = this.coldStart?.createSuccessor() ?? ColdStart.create();
      this.startedAtMs = startedAtMs;
    }
    const coldLeftMs = Math.max(0, coldUntilMs - writtenMs);
    this.coldStart?.onRegistered({registeredAt, coldLeftMs}, nowMs);
  }

  private send(nowMs: number): number {
    const {share} = this.fleet;
    const {coldStart} = this;
    if (coldStart === undefined || share === undefined) return 0;
    const isOwner = this.owners.isOwner(TARGET, share.owners, nowMs);
    coldStart.setShare(COLD_MS, isOwner ? share.ratePerS : 0, nowMs);
    if (this.fleet.isPausing(nowMs)) return 0;
    let sent = 0;
    while (sent < 50 && coldStart.trySend(nowMs)) sent += 1;
    return sent;
  }
}

/** The instances, the store and the target. */
class Fleet {
  readonly random: Random;
  readonly listed: string[] = [];
  readonly share;
  registration: Registration | undefined;
  private lostAtMs = Infinity;
  private readonly instances: Instance[];
  /** Requests that arrived, by step, while the target was cold. */
  private readonly arrived: {atMs: number; count: number}[] = [];

  constructor(private readonly options: Model) {
    const {ratePerS, overage, slack, seed, instances} = options;
    this.random = Random.create(seed);
    const spec = {ratePerS, durationMs: COLD_MS};
    this.share = coldShareOf(spec, {overage, slack});
    for (let i = 0; i < instances; i++) this.listed.push(`entry-${i}`);
    this.instances = this.listed.map(id => new Instance(id, this));
  }

  list(id: string): void {
    this.listed.push(id);
  }

  isPausing(nowMs: number): boolean {
    return nowMs % (this.options.pauseMs + BUSY_MS) < this.options.pauseMs;
  }

  /** A peer tells an instance that starts what was lost. */
  tellOfLoss(instance: Instance, nowMs: number): void {
    if (nowMs >= this.lostAtMs) instance.onLost(this.lostAtMs, nowMs);
  }

  run(): void {
    const {lostAtMs, downMs, registrationDelayMs, joining} = this.options;
    const {restartMs, restartTogether} = this.options;
    const spreadMs = restartTogether ? 0 : END_MS - restartMs;
    const backAtMs = lostAtMs + downMs;
    const registeredMs = backAtMs + registrationDelayMs;
    this.register(1, 0, 0);
    const restartsMs = this.instances.map(
      () => restartMs + this.random.int(0, spreadMs)
    );
    const isRestarting = this.instances.map(
      () => this.random.uniform() < this.options.restarting
    );
    for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
      if (nowMs === 1000) this.cutOff();
      if (nowMs === 1000) this.join(joining);
      const isLostNow = Math.abs(nowMs - lostAtMs) * 2 <= STEP_MS;
      if (isLostNow) this.lose(nowMs);
      if (nowMs >= registeredMs && this.registration?.startedAtMs === 0) {
        this.register(2, backAtMs, nowMs);
      }
      for (const [i, atMs] of restartsMs.entries()) {
        if (!isRestarting[i] || Math.abs(nowMs - atMs) * 2 > STEP_MS) continue;
        this.instances[i].restart(this.random.int(0, 400), nowMs);
      }
      this.step(nowMs, backAtMs);
    }
  }

  mostPerS(): number {
    let most = 0;
    let sum = 0;
    let from = 0;
    for (const {atMs, count} of this.arrived) {
      sum += count;
      while (this.arrived[from].atMs <= atMs - 1000) {
        sum -= this.arrived[from].count;
        from += 1;
      }
      most = Math.max(most, sum);
    }
    return most;
  }

  get arrivedCount(): number {
    return this.arrived.reduce((sum, {count}) => sum + count, 0);
  }

  private step(nowMs: number, backAtMs: number): void {
    const isUp = nowMs < this.lostAtMs || nowMs >= backAtMs;
    const startMs = nowMs < this.lostAtMs ? 0 : backAtMs;
    const isCold = nowMs - startMs < COLD_MS;
    let count = 0;
    for (const instance of this.instances) {
      const sent = instance.step(nowMs);
      count += sent;
      if (!isUp && sent > 0) instance.onLost(this.lostAtMs, nowMs);
    }
    if (isUp && isCold) this.arrived.push({atMs: nowMs, count});
  }

  /** The instances that run hear of it from their connections or peers. */
  private lose(nowMs: number): void {
    this.lostAtMs = nowMs;
    for (const instance of this.instances) instance.onLost(nowMs, nowMs);
  }

  private cutOff(): void {
    for (const instance of this.instances) {
      instance.isCutOff = this.random.uniform() < this.options.cutOff;
    }
  }

  /** A joining instance does not replace one that cannot read of it. */
  private join(count: number): void {
    if (this.instances.some(({isCutOff}) => isCutOff)) return;
    for (let i = 0; i < count; i++) {
      this.instances.push(new Instance(`new-${i}`, this));
    }
  }

  private register(
    registeredAt: number,
    startedAtMs: number,
    writtenMs: number
  ): void {
    const coldUntilMs = startedAtMs + COLD_MS;
    this.registration = {registeredAt, startedAtMs, writtenMs, coldUntilMs};
  }
}

test('a cold target never gets more than its bound in a second, whichever instances start, end, join or are cut off', () => {
  let arrived = 0;
  fc.assert(
    fc.property(model, options => {
      const fleet = new Fleet(options);
      fleet.run();
      const {ratePerS, overage, slack} = options;
      const allowed = ratePerS * overage + slack;
      const most = fleet.mostPerS();
      arrived += fleet.arrivedCount;
      assert.ok(most <= allowed + 1e-6, `${most} of ${allowed}`);
    }),
    {numRuns: 200, seed: 20261204}
  );
  // A fleet that sends nothing keeps every bound.
  assert.ok(arrived > 2000, `${arrived} arrived`);
});
