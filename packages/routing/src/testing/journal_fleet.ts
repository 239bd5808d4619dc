import {Random} from '@applebend/utils';
import {
  checkJournaledSets,
  checkResumed,
  hasBegun,
  placeableVersions,
  RESEND_SETTLES_MS,
  RETENTION_MS,
} from './journal_checks.js';
import {JournalFaults} from './journal_faults.js';
import {JournalInstance} from './journal_instance.js';
import {JournalReleases} from './journal_releases.js';
import {JournalStore} from './journal_store.js';

import type {AttemptKey} from '../lib/versions/stream_versions.js';
import type {OracleStream} from './journal_checks.js';
import type {Fault} from './journal_faults.js';

interface Notice {
  readonly to: JournalInstance;
  readonly atMs: number;
  readonly apply: (to: JournalInstance, nowMs: number) => void;
}

export const SERVICES = ['llm', 'app'];
export const INSTANCES = 3;
const TICK_MS = 50;
const NOTICE_MS = {min: 5, max: 60};
/** Chance that a stream begins at an instance in a tick. */
const STREAM_CHANCE = 0.2;
/** Chance that an attempt is sent twice in a tick of a calm time. */
const RESEND_CHANCE = 0.1;
const LOSS_RATE = 0.5;
const RESUMES_PER_TICK = 3;
/** Without a fault or a change for this long, the journal is complete. */
const CALM_MS = 5000;

/** A fleet that journals the versions of its streams, beside an oracle. */
export class JournalFleet {
  readonly store = new JournalStore();
  readonly releases = new JournalReleases();
  readonly instances: (JournalInstance | undefined)[] = [];
  readonly streams = new Map<AttemptKey, OracleStream>();
  nowMs = 0;
  private readonly faults = new JournalFaults();
  private readonly random: Random;
  private readonly startsAtMs: number[] = [];
  private notices: Notice[] = [];
  private attemptCount = 0;
  private lastFaultAtMs = 0;
  private setsKey = '';
  /** Resumed streams that were continued, for checks that some are. */
  continuedCount = 0;

  /** @param hangingChance - of the result of an append to come too late */
  constructor(
    seed: number,
    private readonly hangingChance = 0
  ) {
    this.random = Random.create(seed);
    for (const service of SERVICES) this.releases.appear(service);
    for (let i = 0; i < INSTANCES; i++) this.start(i, true);
  }

  /** Lets time pass. */
  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += TICK_MS;
      this.tick();
    }
  }

  /** Begins a fault; of the instance with that index, if it is one of these. */
  fail(fault: Fault, index: number, durationMs: number): void {
    this.onFault();
    this.faults.begin(fault, `i${index}`, this.nowMs + durationMs);
  }

  /** The store is replaced by its copy. */
  restoreStore(): void {
    this.onFault();
    this.store.restore();
    for (const {journal} of this.live()) journal.onNewEra(this.nowMs);
  }

  /** Marks the present as not calm; streams sent twice may now be unsettled. */
  private onFault(): void {
    this.lastFaultAtMs = this.nowMs;
    for (const [attempt, {resentAtMs}] of this.streams) {
      if (this.nowMs - resentAtMs < RESEND_SETTLES_MS) {
        this.streams.delete(attempt);
      }
    }
  }

  kill(index: number, downMs: number): void {
    this.onFault();
    const instance = this.instances[index];
    instance?.kill();
    this.notices = this.notices.filter(({to}) => to !== instance);
    this.instances[index] = undefined;
    this.startsAtMs[index] = this.nowMs + downMs;
  }

  /**
   * Sends a stream without a first event to another version. Only in calm: if
   * the instances and the journal hear of the first send alone, they take the
   * wrong version for the right one.
   */
  private resend(): void {
    const {releases} = this;
    for (const stream of this.streams.values()) {
      const ageMs = this.nowMs - stream.beganAtMs;
      if (ageMs <= NOTICE_MS.max || hasBegun(stream, this.nowMs)) continue;
      const {instance, service} = stream;
      const others = placeableVersions(instance, releases, service);
      const version = others.find(other => other !== stream.version);
      if (version === undefined) continue;
      stream.version = version;
      stream.resentAtMs = this.nowMs;
      this.announceStream(instance, stream);
      return;
    }
  }

  /** Checks all streams at all instances. */
  checkAll(): void {
    for (const instance of this.serving()) {
      for (const stream of this.streams.values()) this.check(instance, stream);
    }
  }

  serving(): JournalInstance[] {
    return this.live().filter(
      instance => instance.isServing && !this.hasFault('freeze', instance)
    );
  }

  live(): JournalInstance[] {
    return this.instances.filter(instance => instance !== undefined);
  }

  private hasFault(fault: Fault, {options}: JournalInstance): boolean {
    return this.faults.has(fault, options.id, this.nowMs);
  }

  /** A fault that is not one of a single instance. */
  private hasSharedFault(fault: Fault): boolean {
    return this.faults.has(fault, 'i0', this.nowMs);
  }

  private get isCalm(): boolean {
    return this.nowMs - this.lastFaultAtMs >= CALM_MS;
  }

  private start(index: number, isFleetBootstrap: boolean): void {
    const id = `i${index}`;
    const instance: JournalInstance = new JournalInstance({
      id,
      instanceCount: INSTANCES,
      startedAtMs: this.nowMs,
      isFleetBootstrap,
      random: this.random,
      hangingChance: this.hangingChance,
      store: this.store,
      canReachStore: () =>
        !this.hasSharedFault('store') && !this.hasFault('link', instance),
      registered: () => this.releases.registered(),
      announceSaved: () =>
        this.announce(instance, (to, nowMs) =>
          to.journal.onPeerSaved(id, nowMs)
        ),
    });
    for (const peer of this.live()) this.tellVersions(peer, instance);
    this.instances[index] = instance;
  }

  /** A peer tells an instance that starts which versions it has seen. */
  private tellVersions(from: JournalInstance, to: JournalInstance): void {
    const seen = from.services.recent(this.nowMs);
    this.send(from, to, (_, nowMs) => {
      for (const version of seen) to.services.add(version, nowMs);
    });
  }

  private tick(): void {
    const {nowMs} = this;
    if (this.faults.hasAny(nowMs)) this.onFault();
    for (const [index, atMs] of this.startsAtMs.entries()) {
      const isDue = this.instances[index] === undefined && atMs <= nowMs;
      if (isDue) this.start(index, false);
    }
    this.deliver();
    for (const instance of this.live()) {
      if (!this.hasFault('freeze', instance)) instance.tick(nowMs);
    }
    this.observeSets();
    this.forgetOldStreams();
    for (const instance of this.serving()) {
      if (this.random.chance(STREAM_CHANCE)) this.begin(instance);
    }
    for (let i = 0; i < RESUMES_PER_TICK; i++) this.resumeAny();
    if (!this.isCalm) return;
    if (this.random.chance(RESEND_CHANCE)) this.resend();
    checkJournaledSets(this.live(), this.store, this.releases, nowMs);
  }

  /** A change of a set of versions ends the calm. */
  private observeSets(): void {
    const sets = this.live().map(({sets}) =>
      [...sets].map(([service, versions]) => [service, ...versions].join())
    );
    const key = sets.join();
    if (key !== this.setsKey) this.lastFaultAtMs = this.nowMs;
    this.setsKey = key;
  }

  private deliver(): void {
    const {nowMs} = this;
    const isDue = ({to, atMs}: Notice) =>
      atMs <= nowMs && !this.hasFault('freeze', to);
    const due = this.notices.filter(isDue);
    this.notices = this.notices.filter(notice => !isDue(notice));
    for (const {to, apply} of due) apply(to, nowMs);
  }

  private announce(from: JournalInstance, apply: Notice['apply']): void {
    for (const to of this.live()) {
      if (to !== from) this.send(from, to, apply);
    }
  }

  private send(
    from: JournalInstance,
    to: JournalInstance,
    apply: Notice['apply']
  ): void {
    const {nowMs, random} = this;
    if (this.hasFault('mute', from)) return;
    if (this.hasSharedFault('loss') && random.chance(LOSS_RATE)) return;
    const atMs = nowMs + random.int(NOTICE_MS.min, NOTICE_MS.max);
    this.notices.push({to, atMs, apply});
  }

  private begin(instance: JournalInstance): void {
    const {releases} = this;
    const service = this.random.pick(SERVICES);
    const versions = placeableVersions(instance, releases, service);
    if (versions.length === 0) return;
    this.attemptCount += 1;
    const stream: OracleStream = {
      attempt: this.attemptCount,
      service,
      version: this.random.pick(versions),
      beganAtMs: this.nowMs,
      instance,
      resentAtMs: -Infinity,
    };
    this.streams.set(stream.attempt, stream);
    this.announceStream(instance, stream);
  }

  private announceStream(
    instance: JournalInstance,
    {attempt, version}: OracleStream
  ): void {
    instance.onStream(attempt, version, this.nowMs);
    this.announce(instance, (to, nowMs) =>
      to.onStream(attempt, version, nowMs)
    );
  }

  private forgetOldStreams(): void {
    for (const [attempt, {beganAtMs}] of this.streams) {
      if (this.nowMs - beganAtMs < RETENTION_MS) break;
      this.streams.delete(attempt);
    }
  }

  /** A caller resumes some stream at some instance, which continues it. */
  private resumeAny(): void {
    const serving = this.serving();
    if (serving.length === 0 || this.streams.size === 0) return;
    const instance = this.random.pick(serving);
    const stream = this.streams.get(this.randomAttempt());
    if (stream === undefined || !this.check(instance, stream)) return;
    this.continuedCount += 1;
    this.announceStream(instance, stream);
  }

  /** Attempts are numbered; the remembered ones are the last of them. */
  private randomAttempt(): AttemptKey {
    const count = Math.min(this.streams.size, this.attemptCount);
    return this.random.int(this.attemptCount - count + 1, this.attemptCount);
  }

  /** Returns whether the stream continues at the instance. */
  private check(instance: JournalInstance, stream: OracleStream): boolean {
    return checkResumed(instance, stream, this.releases, this.nowMs);
  }
}
