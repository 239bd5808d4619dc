/**
 * Instances follow a store that is copied and restored at random moments, with
 * late responses, restarts and messages between the instances, against an
 * oracle that knows what each instance has seen.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ConfigKnowledge} from '../lib/freshness/config_knowledge.js';
import {ERA_ORDER, StoreEra} from '../lib/freshness/store_era.js';
import {
  DEPARTURE_KIND,
  TargetDepartures,
} from '../lib/membership/target_departures.js';

import type {Target, TargetState} from '../lib/config/target.js';

const TARGET_IDS = ['t-0', 't-1'];
/** After it, an instance that heard no peer relies on the store alone. */
const PEER_WAIT_MS = 700;
const SETTLE_MS = 2000;

interface StoreState {
  readonly version: number;
  readonly targets: ReadonlyMap<string, Target>;
  readonly end: number;
}

/** What a read returned, in which era, and when it was sent. */
interface Response extends StoreState {
  readonly era: number;
  /** When that era began. */
  readonly restoredAtMs: number;
  readonly sentAtMs: number;
}

class Store {
  era = 1;
  /** When it was restored last. */
  restoredAtMs = -Infinity;
  /** Newest version that was ever written, also before a restore. */
  newestVersion = 1;
  private state: StoreState = {version: 1, targets: new Map(), end: 1};
  private copy = this.state;

  publish(): void {
    this.newestVersion += 1;
    this.state = {...this.state, version: this.newestVersion};
    this.grow();
  }

  /** The operator writes its newest version again. */
  publishAgain(): void {
    this.state = {...this.state, version: this.newestVersion};
    this.grow();
  }

  register(id: string, state: TargetState): void {
    const registeredAt = this.state.end;
    const targets = new Map(this.state.targets);
    targets.set(id, createTarget(id, state, registeredAt));
    this.state = {...this.state, targets};
    this.grow();
  }

  remove(id: string): void {
    const targets = new Map(this.state.targets);
    targets.delete(id);
    this.state = {...this.state, targets};
    this.grow();
  }

  save(): void {
    this.copy = this.state;
  }

  restore(nowMs: number): void {
    this.state = this.copy;
    this.era += 1;
    this.restoredAtMs = nowMs;
  }

  read(sentAtMs: number): Response {
    const {era, restoredAtMs} = this;
    return {...this.state, era, restoredAtMs, sentAtMs};
  }

  private grow(): void {
    this.state = {...this.state, end: this.state.end + 1};
  }
}

/** One instance, as the platform's adapter and the gateway drive it. */
class Instance {
  private readonly era = StoreEra.create();
  private readonly departures = TargetDepartures.create();
  private readonly knowledge: ConfigKnowledge;
  private isRestored = false;
  private restoredBefore = 0;
  private hasHeardPeer = false;
  /** Whether it confirmed the configuration in its era. */
  private hasConfirmed = false;
  /** Whether a peer told it so of that era. */
  private knowsOfConfirmation = false;
  private settledAtMs = -Infinity;
  heldVersion = 0;
  /** Newest version that it or a peer that it heard has held. */
  knownVersion = 0;
  /**
   * Newest version that the store has shown it in this era. A late response may
   * show less and still confirms this one.
   */
  private shownVersion = 0;
  /** Ids that it knows to be leaving. */
  readonly leaving = new Set<string>();

  constructor(readonly startedAtMs: number) {
    this.knowledge = ConfigKnowledge.create({
      startedAtMs,
      isFleetBootstrap: false,
    });
  }

  onResponse(response: Response, nowMs: number): void {
    if (this.observeEra(response.era, nowMs) === ERA_ORDER.older) return;
    const {version, sentAtMs, restoredAtMs} = response;
    this.knowledge.onEra(response.era, nowMs);
    this.knowledge.onStoreVersion(version);
    this.shownVersion = Math.max(this.shownVersion, version);
    this.heldVersion = Math.max(this.heldVersion, version);
    this.knownVersion = Math.max(this.knownVersion, version);
    if (this.knowledge.confirms(sentAtMs, nowMs)) {
      const isNewest = this.shownVersion >= this.knownVersion;
      assert.ok(isNewest, 'confirmed an older version');
      assert.ok(sentAtMs >= this.settledAtMs, 'confirmed by a fresh copy');
      const isSettled = sentAtMs >= restoredAtMs + SETTLE_MS;
      const isKnown = isSettled || this.knowsOfConfirmation;
      assert.ok(isKnown, 'confirmed by a copy from just before the start');
      this.hasConfirmed = true;
      const isAlone = nowMs - this.startedAtMs >= PEER_WAIT_MS;
      assert.ok(this.hasHeardPeer || isAlone, 'confirmed before any peer');
    }
    this.applyTargets(response, nowMs);
  }

  hear(peer: Instance, nowMs: number): void {
    this.observeEra(peer.era.current, nowMs);
    this.hasHeardPeer = true;
    const isConfirmed =
      peer.hasConfirmed && peer.era.current === this.era.current;
    this.knowsOfConfirmation ||= isConfirmed;
    this.knowledge.onPeerVersion(peer.heldVersion, isConfirmed);
    this.knownVersion = Math.max(this.knownVersion, peer.heldVersion);
    for (const departure of peer.departures.recent(nowMs)) {
      this.departures.add(departure, nowMs);
      if (departure.kind !== DEPARTURE_KIND.leaving) continue;
      this.leaving.add(departure.target.id);
    }
  }

  /** A target says in a response that it is leaving. */
  onLeaving(id: string, nowMs: number): void {
    const target = {id, startedAtMs: 1};
    const storeEra = this.era.current;
    this.departures.add(
      {kind: DEPARTURE_KIND.leaving, target, storeEra},
      nowMs
    );
    this.leaving.add(id);
  }

  private observeEra(era: number, nowMs: number): string {
    const order = this.era.observe(era);
    if (order !== ERA_ORDER.newer) return order;
    this.knowledge.onNewEra(nowMs);
    this.isRestored = true;
    this.shownVersion = 0;
    this.hasConfirmed = false;
    this.knowsOfConfirmation = false;
    this.settledAtMs = nowMs + SETTLE_MS;
    return order;
  }

  private applyTargets(response: Response, nowMs: number): void {
    if (this.isRestored) this.restoredBefore = response.end;
    this.isRestored = false;
    const removedBefore = new Set(
      this.departures
        .recent(nowMs)
        .filter(d => d.kind === DEPARTURE_KIND.removed)
        .filter(d => d.storeEra < response.era)
        .map(d => d.target.id)
    );
    const list = {
      targets: [...response.targets.values()],
      storeEra: response.era,
      restoredBefore: this.restoredBefore,
    };
    for (const target of this.departures.apply(list, nowMs)) {
      if (target.state === 'leaving') this.leaving.add(target.id);
      const isUsed = target.state === 'ready';
      assert.ok(!isUsed || !this.leaving.has(target.id), 'uses a leaving one');
      const isCopy = target.registeredAt < this.restoredBefore;
      const isBack = removedBefore.has(target.id) && isCopy;
      assert.ok(!isBack, 'uses a removed one because of a copy');
    }
  }
}

function createTarget(
  id: string,
  state: TargetState,
  registeredAt: number
): Target {
  return {
    id,
    service: 'llm',
    host: '127.0.0.1',
    port: 9,
    failureDomain: 'hall-a',
    softwareVersion: 'v1',
    slots: 4,
    state,
    startedAtMs: 1,
    registeredAt,
    coldLeftMs: 0,
  };
}

const id = fc.constantFrom(...TARGET_IDS);
const who = fc.nat({max: 1});
const read = fc.record({kind: fc.constant('read' as const), who});
const step = fc.oneof(
  {arbitrary: read, weight: 8},
  fc.record({kind: fc.constant('publish' as const)}),
  fc.record({kind: fc.constant('publishAgain' as const)}),
  fc.record({kind: fc.constant('register' as const), id}),
  fc.record({kind: fc.constant('drain' as const), id}),
  fc.record({kind: fc.constant('remove' as const), id}),
  fc.record({kind: fc.constant('save' as const)}),
  fc.record({kind: fc.constant('restore' as const)}),
  fc.record({kind: fc.constant('send' as const), who}),
  fc.record({kind: fc.constant('receive' as const), index: fc.nat({max: 5})}),
  fc.record({kind: fc.constant('hear' as const), who, peer: who}),
  fc.record({kind: fc.constant('leaving' as const), who, id}),
  fc.record({kind: fc.constant('restart' as const), who})
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;
const timedStep = fc.record({step, afterMs: fc.integer({min: 0, max: 900})});

function play(steps: readonly {step: Step; afterMs: number}[]): void {
  const store = new Store();
  const fleet = [0, 1].map(() => new Instance(0));
  let inFlight: {to: Instance; response: Response}[] = [];
  let nowMs = 0;
  const handlers = {
    publish: () => store.publish(),
    publishAgain: () => store.publishAgain(),
    register: (s: Step & {kind: 'register'}) => store.register(s.id, 'ready'),
    drain: (s: Step & {kind: 'drain'}) => store.register(s.id, 'leaving'),
    remove: (s: Step & {kind: 'remove'}) => store.remove(s.id),
    save: () => store.save(),
    restore: () => store.restore(nowMs),
    read: (s: Step & {kind: 'read'}) => {
      fleet[s.who].onResponse(store.read(nowMs), nowMs);
    },
    send: (s: Step & {kind: 'send'}) => {
      inFlight.push({to: fleet[s.who], response: store.read(nowMs)});
    },
    receive: (s: Step & {kind: 'receive'}) => {
      const [call] = inFlight.splice(s.index % Math.max(1, inFlight.length), 1);
      call?.to.onResponse(call.response, nowMs);
    },
    hear: (s: Step & {kind: 'hear'}) => {
      if (s.who !== s.peer) fleet[s.who].hear(fleet[s.peer], nowMs);
    },
    leaving: (s: Step & {kind: 'leaving'}) =>
      fleet[s.who].onLeaving(s.id, nowMs),
    restart: (s: Step & {kind: 'restart'}) => {
      const former = fleet[s.who];
      inFlight = inFlight.filter(({to}) => to !== former);
      fleet[s.who] = new Instance(nowMs);
    },
  } as Readonly<Record<Step['kind'], (s: Step) => void>>;
  for (const {step: next, afterMs} of steps) {
    nowMs += afterMs;
    handlers[next.kind](next);
  }
}

test('no copy of the store brings back what an instance or its peers knew', () => {
  fc.assert(
    fc.property(fc.array(timedStep, {minLength: 40, maxLength: 80}), steps =>
      play(steps)
    ),
    {numRuns: 1500, seed: 20261204}
  );
});
