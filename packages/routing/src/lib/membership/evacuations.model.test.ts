/**
 * Instances read the operator's records from a store that is copied and restored
 * at random moments, with late responses, states passed on by peers and
 * restarts, against an oracle that knows the records of each era.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Evacuations} from './evacuations.js';

import type {EvacuationRead} from './evacuations.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 1000);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261204);
const INSTANCES = 3;
const DOMAINS = ['a', 'b'];
/** Longest time after a restore until the operator has written again. */
const REWRITE_MS = 2000;
/** Longest time until each instance has read what was written. */
const READ_LAG_MS = 1600;
/** The store is not restored again before all have recovered from the last. */
const RESTORE_PAUSE_MS = 7000;
/** Longest time for which an evacuation that a copy lacks is kept. */
const KEEP_MS = 4000;

interface OperatorRecord {
  readonly domain: string;
  readonly isWritten: boolean;
  /** How often the operator had ended evacuations of the domain before. */
  readonly endings: number;
}

/** The newest record of each domain, unless it was removed. */
function fold(records: readonly OperatorRecord[]): Map<string, OperatorRecord> {
  const domains = new Map<string, OperatorRecord>();
  for (const record of records) {
    if (record.isWritten) domains.set(record.domain, record);
    else domains.delete(record.domain);
  }
  return domains;
}

class Store {
  /** Records of each era, by the index of the era. */
  readonly eras: OperatorRecord[][] = [[]];
  private copy: readonly OperatorRecord[] = [];
  /** What the operator wants, whatever a copy lacks. */
  readonly wanted = new Set<string>();
  readonly endings = new Map<string, number>();
  restoredAtMs = -Infinity;

  get era(): number {
    return this.eras.length;
  }

  private get records(): OperatorRecord[] {
    return this.eras[this.era - 1];
  }

  write(domain: string, isWritten: boolean): void {
    if (isWritten) this.wanted.add(domain);
    else this.wanted.delete(domain);
    this.append(domain);
  }

  end(domain: string): void {
    this.endings.set(domain, this.endingsOf(domain) + 1);
    this.write(domain, false);
  }

  endingsOf(domain: string): number {
    return this.endings.get(domain) ?? 0;
  }

  /** The operator writes again what it wants, in a store that was restored. */
  rewrite(): void {
    for (const domain of DOMAINS) this.append(domain);
  }

  private append(domain: string): void {
    const isWritten = this.wanted.has(domain);
    const endings = this.endingsOf(domain);
    this.records.push({domain, isWritten, endings});
  }

  save(): void {
    this.copy = [...this.records];
  }

  restore(nowMs: number): void {
    this.eras.push([...this.copy]);
    this.restoredAtMs = nowMs;
  }

  /** @param from - first record to read; undefined reads the newest of all */
  read(from: number | undefined): EvacuationRead {
    const {records, era} = this;
    const shown =
      from === undefined ? [...fold(records).values()] : records.slice(from);
    return {
      changes: new Map(shown.map(r => [r.domain, r.isWritten])),
      isComplete: from === undefined,
      asOf: records.length,
      storeEra: era,
    };
  }
}

/** One instance, as its reader and its parent drive it. */
class Instance {
  readonly evacuations = Evacuations.create();
  private offset: number | undefined;
  private offsetEra = 0;
  /** When it saw the present era first. */
  private eraSeenAtMs = 0;
  /** Domains seen as evacuated, of which the operator wants all since. */
  private readonly due = new Set<string>();

  constructor(private readonly store: Store) {}

  /** What a read that is sent now returns. */
  send(): EvacuationRead {
    const isValid = this.offsetEra === this.store.era;
    return this.store.read(isValid ? this.offset : undefined);
  }

  receive(read: EvacuationRead, nowMs: number): void {
    // The store's client drops responses of an era that is over.
    if (read.storeEra < this.offsetEra) return;
    const isNewEra = read.storeEra > this.offsetEra;
    const last = isNewEra ? 0 : (this.offset ?? 0);
    this.offset = Math.max(last, read.asOf);
    this.offsetEra = read.storeEra;
    this.apply(read, nowMs, () => this.evacuations.onRead(read, nowMs));
  }

  hear(peer: Instance, nowMs: number): void {
    const {state} = peer.evacuations;
    if (state === undefined) return;
    this.apply(state, nowMs, () => this.evacuations.onState(state, nowMs));
  }

  private apply(
    {storeEra, asOf}: Pick<EvacuationRead, 'storeEra' | 'asOf'>,
    nowMs: number,
    change: () => void
  ): void {
    const before = this.evacuations.state;
    change();
    const held = this.evacuations.state;
    assert.ok(held);
    if (held.storeEra !== before?.storeEra) this.eraSeenAtMs = nowMs;
    const isApplied = held.storeEra === storeEra && held.asOf === asOf;
    this.check(nowMs, isApplied);
  }

  /** Forgets the domains whose evacuation the operator ended. */
  onRemoved(domain: string): void {
    this.due.delete(domain);
  }

  /** @param isApplied - whether what was received was not outdated */
  private check(nowMs: number, isApplied: boolean): void {
    const {evacuations, store, due} = this;
    const {state} = evacuations;
    if (state === undefined) return;
    const records = store.eras[state.storeEra - 1].slice(0, state.asOf);
    const shown = fold(records);
    const domains = [...shown.keys()];
    assert.deepEqual([...state.domains].sort(), domains.sort());
    for (const domain of DOMAINS) {
      if (shown.has(domain)) assert.ok(evacuations.has(domain), 'is evacuated');
      if (due.has(domain)) assert.ok(evacuations.has(domain), 'ended early');
      const isSettled = nowMs - this.eraSeenAtMs >= KEEP_MS && isApplied;
      const isKept = evacuations.has(domain) && !shown.has(domain);
      assert.ok(!isSettled || !isKept, 'kept though it was not written again');
      const isCurrent = shown.get(domain)?.endings === store.endingsOf(domain);
      if (isCurrent && store.wanted.has(domain)) due.add(domain);
    }
  }
}

const domain = fc.constantFrom(...DOMAINS);
const who = fc.nat({max: INSTANCES - 1});
const step = fc.oneof(
  {arbitrary: fc.record({kind: fc.constant('read'), who}), weight: 4},
  {arbitrary: fc.record({kind: fc.constant('send'), who}), weight: 3},
  {
    arbitrary: fc.record({kind: fc.constant('receive'), index: fc.nat()}),
    weight: 3,
  },
  {
    arbitrary: fc.record({kind: fc.constant('hear'), who, peer: who}),
    weight: 4,
  },
  fc.record({kind: fc.constant('evacuate'), domain}),
  fc.record({kind: fc.constant('end'), domain}),
  fc.record({kind: fc.constant('save')}),
  fc.record({kind: fc.constant('restore')}),
  fc.record({kind: fc.constant('restart'), who})
);
interface Step {
  readonly kind: string;
  readonly who?: number;
  readonly peer?: number;
  readonly index?: number;
  readonly domain?: string;
}
const timedStep = fc.record({step, afterMs: fc.integer({min: 0, max: 500})});

/** The store, its instances, and the responses on their way. */
class Model {
  private readonly store = new Store();
  private readonly fleet: Instance[] = [];
  private inFlight: {to: Instance; read: EvacuationRead}[] = [];
  private nowMs = 0;
  private rewriteAtMs = Infinity;
  private readAtMs = Infinity;

  constructor() {
    for (let i = 0; i < INSTANCES; i++) this.restart(i);
  }

  play({kind, who = 0, peer = 0, index = 0, domain = ''}: Step, afterMs = 0) {
    this.wait(afterMs);
    const {store, fleet, nowMs} = this;
    const handlers: Readonly<Record<string, () => void>> = {
      evacuate: () => store.write(domain, true),
      end: () => this.end(domain),
      save: () => store.save(),
      restore: () => this.restore(),
      read: () => fleet[who].receive(fleet[who].send(), nowMs),
      send: () => this.inFlight.push({to: fleet[who], read: fleet[who].send()}),
      receive: () => this.receive(index),
      hear: () => fleet[who].hear(fleet[peer], nowMs),
      restart: () => this.restart(who),
    };
    handlers[kind]();
  }

  private end(domain: string): void {
    this.store.end(domain);
    for (const instance of this.fleet) instance.onRemoved(domain);
  }

  private receive(index: number): void {
    const at = index % Math.max(1, this.inFlight.length);
    const [call] = this.inFlight.splice(at, 1);
    call?.to.receive(call.read, this.nowMs);
  }

  private restore(): void {
    if (this.nowMs < this.store.restoredAtMs + RESTORE_PAUSE_MS) return;
    this.store.restore(this.nowMs);
    this.rewriteAtMs = this.nowMs + REWRITE_MS;
  }

  private restart(index: number): void {
    this.inFlight = this.inFlight.filter(({to}) => to !== this.fleet[index]);
    this.fleet[index] = new Instance(this.store);
  }

  /** Lets the operator write, and the instances read, when it is due. */
  private wait(ms: number): void {
    this.nowMs += ms;
    if (this.nowMs >= this.rewriteAtMs) {
      this.store.rewrite();
      this.rewriteAtMs = Infinity;
      this.readAtMs = this.nowMs + READ_LAG_MS - 500;
    }
    if (this.nowMs < this.readAtMs) return;
    this.readAtMs = Infinity;
    for (const instance of this.fleet) {
      instance.receive(instance.send(), this.nowMs);
    }
  }
}

test('no evacuation ends or returns by the order of reads, peers or a restore', () => {
  fc.assert(
    fc.property(fc.array(timedStep, {minLength: 40, maxLength: 100}), steps => {
      const model = new Model();
      for (const {step: next, afterMs} of steps) model.play(next, afterMs);
    }),
    {numRuns: RUNS, seed: SEED}
  );
});
