import {incarnationOf} from '@applebend/routing';
import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {CrashGuard} from '../lib/crash/crash_guard.js';
import {TARGET_CHECK} from '../lib/crash/target_check.js';
import {applyCrashNotice} from '../lib/peers/notice.js';
import {informStarted} from './guarded_fleet.js';
import {sampleTarget} from './sample_target.js';

import type {Quarantine, Target} from '@applebend/routing';
import type {TargetCheck} from '../lib/crash/target_check.js';
import type {CrashNotice} from '../lib/peers/notice.js';

/** How the targets of a run end, and what reaches the instances. */
export interface WorldOptions {
  readonly instances: number;
  readonly addresses: number;
  /** Time from the start of a request that crashes its target to its end. */
  readonly crashDelayMs: number;
  /** Time for which a target still accepts after it broke its connections. */
  readonly listenMs: number;
  /** Time until the next target starts at the address. */
  readonly downMs: number;
  /** Whether connections to an ended target hang instead of being refused. */
  readonly isDark: boolean;
  /** Whether the first message with a notice does not reach a peer. */
  readonly losesNotice: () => boolean;
  /** Milliseconds until a notice reaches a peer. */
  readonly noticeDelayMs: () => number;
}

/** One request of a caller at one instance. */
export interface Call {
  readonly fingerprint: string;
  readonly instance: number;
  readonly crashesTargets: boolean;
  /** When the caller leaves, if it does before an answer or a failure. */
  readonly leavesAfterMs: number;
}

/** A request at a target. */
interface Run {
  readonly call: Call;
  readonly guard: CrashGuard;
  readonly target: Target;
  readonly sentAtMs: number;
  isOpen: boolean;
}

/** What is at one address. */
interface Address {
  target: Target;
  /** The target runs requests. */
  isRunning: boolean;
  isListening: boolean;
  isEnding: boolean;
  runs: Run[];
}

const log = Logger.create(LOG_LEVEL.error, {});
const SERVE_MS = 20;
/** Time until a notice is sent again. */
const REPEAT_MS = 200;
/** A call to a target that does not answer ends after this time. */
const DEADLINE_MS = 1500;
/** Time until an instance reads a registration that changed. */
const LIST_LAG_MS = 1000;
/** Time until a target that ended is registered no more. */
const EXPIRY_MS = 3600;
/** Longest time for which an aborted request can be suspected. */
const SUSPICION_MS = 10_000;

/** Targets that end, and the instances' crash guards, in simulated time. */
export class CrashWorld {
  readonly clock = {monotonicMs: () => this.nowMs, wallMs: () => this.nowMs};
  /** When a request that crashes targets began at a target. */
  readonly hitTimesMs: number[] = [];
  readonly endTimesMs: number[] = [];
  /** Calls that were refused, although the request crashes no target. */
  readonly refused: Call[] = [];
  private nowMs = 0;
  private nextId = 1;
  private readonly addresses: Address[] = [];
  private readonly guards: CrashGuard[] = [];
  /** The registrations that each instance has read. */
  private readonly lists: (readonly Target[])[] = [];
  private readonly saved = new Map<string, Quarantine>();
  /** Ended targets that are registered no more. */
  private readonly expired = new Set<Target>();
  private readonly events: {atMs: number; run: () => void}[] = [];
  /** By fingerprint, ends of targets at which it was since it last completed. */
  private readonly endsBeside = new Map<string, number>();
  private readonly mostEnds = new Map<string, number>();
  /** Number of runs that have not ended, by fingerprint. */
  private readonly open = new Map<string, number>();
  /** By target, when requests ended there without a result. */
  private readonly unresolved = new Map<Target, [string, number][]>();

  constructor(private readonly options: WorldOptions) {
    for (let i = 0; i < options.addresses; i++) {
      this.addresses.push(this.startedAddress(i));
    }
    for (let i = 0; i < options.instances; i++) {
      this.guards.push(this.createGuard(i));
    }
    this.register();
  }

  /**
   * Most ends of targets at which a request was without running to its end in
   * between.
   */
  mostEndsBeside(fingerprint: string): number {
    return this.mostEnds.get(fingerprint) ?? 0;
  }

  /** Whether a request with the fingerprint has not ended. */
  isRunning(fingerprint: string): boolean {
    return (this.open.get(fingerprint) ?? 0) > 0;
  }

  async wait(ms: number): Promise<void> {
    const untilMs = this.nowMs + ms;
    for (;;) {
      this.events.sort((a, b) => a.atMs - b.atMs);
      const next = this.events[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.events.shift();
      this.nowMs = next.atMs;
      next.run();
      // Checks of targets resolve here.
      for (let i = 0; i < 4; i++) await Promise.resolve();
    }
    this.nowMs = untilMs;
  }

  /** Starts a call; it may be sent to two targets. */
  send(call: Call): void {
    const guard = this.guards[call.instance];
    if (guard.quarantineLeftMs(call.fingerprint) > 0) {
      if (!call.crashesTargets) this.refused.push(call);
      return;
    }
    const listed = this.lists[call.instance];
    const start = call.instance + this.nextId;
    for (let i = 0; i < listed.length; i++) {
      const target = listed[(start + i) % listed.length];
      if (this.trySend(call, guard, target)) return;
    }
  }

  /** Restarts an instance; it reads the store and asks the others. */
  restart(index: number): void {
    const others = this.guards.filter((_, i) => i !== index);
    const guard = this.createGuard(index);
    informStarted(guard, this.saved.values(), others);
    this.guards[index] = guard;
    this.setList(index, this.registered());
  }

  private trySend(call: Call, guard: CrashGuard, target: Target): boolean {
    const address = this.addresses[target.port];
    if (address.target !== target && address.isListening) {
      guard.onWrongTarget(target);
      return false;
    }
    if (!address.isListening) {
      if (this.options.isDark) return false;
      guard.onRefused(target);
      return false;
    }
    const sentAtMs = this.nowMs;
    const run: Run = {call, guard, target, sentAtMs, isOpen: true};
    this.countOpen(run, 1);
    if (!address.isRunning) {
      if (this.options.isDark) this.at(DEADLINE_MS, () => this.leave(run));
      else this.break(run);
      return true;
    }
    address.runs.push(run);
    this.at(call.leavesAfterMs, () => this.leave(run));
    if (!call.crashesTargets) {
      this.at(SERVE_MS, () => this.complete(run, address));
      return true;
    }
    this.hitTimesMs.push(this.nowMs);
    if (address.isEnding) return true;
    address.isEnding = true;
    this.at(this.options.crashDelayMs, () => this.end(address));
    return true;
  }

  private complete(run: Run, address: Address): void {
    if (!run.isOpen || address.target !== run.target) return;
    if (!address.isRunning || !this.guards.includes(run.guard)) return;
    this.close(run);
    const {guard, target, sentAtMs, call} = run;
    guard.onTargetAlive(incarnationOf(target), sentAtMs, this.nowMs);
    guard.onServed(call.fingerprint);
    this.endsBeside.delete(call.fingerprint);
    for (const [key, ended] of this.unresolved) {
      const others = ended.filter(([name]) => name !== call.fingerprint);
      this.unresolved.set(key, others);
    }
  }

  private leave(run: Run): void {
    if (!run.isOpen) return;
    const {target, call} = run;
    const ended = this.unresolved.get(target) ?? [];
    this.unresolved.set(target, [...ended, [call.fingerprint, this.nowMs]]);
    this.endRun(run, false);
  }

  private break(run: Run): void {
    if (!run.isOpen) return;
    this.noteEnd(run.call.fingerprint);
    this.endRun(run, true);
  }

  private endRun(run: Run, isBroken: boolean): void {
    if (!run.isOpen) return;
    this.close(run);
    // Nobody sees what happens to the requests of a killed instance.
    if (!this.guards.includes(run.guard)) return;
    const {guard, target, sentAtMs, call} = run;
    void guard.onRunEnded(target, {
      fingerprint: call.fingerprint,
      blocks: [],
      writingMs: undefined,
      sentAtMs,
      endedAtMs: this.nowMs,
      isBroken,
    });
  }

  private end(address: Address): void {
    const {listenMs, downMs, isDark} = this.options;
    const {target, runs} = address;
    this.endTimesMs.push(this.nowMs);
    address.isRunning = false;
    address.isListening = listenMs > 0;
    address.runs = [];
    for (const [name, atMs] of this.unresolved.get(target) ?? []) {
      if (this.nowMs - atMs < SUSPICION_MS) this.noteEnd(name);
    }
    for (const run of runs) {
      if (!isDark) {
        this.break(run);
        continue;
      }
      if (run.isOpen) this.noteEnd(run.call.fingerprint);
      this.at(DEADLINE_MS, () => this.endRun(run, false));
    }
    this.at(listenMs, () => (address.isListening = false));
    this.at(listenMs + downMs, () => this.replace(address));
    this.at(EXPIRY_MS, () => {
      this.expired.add(target);
      this.register();
    });
  }

  private replace(address: Address): void {
    const {port} = address.target;
    Object.assign(address, this.startedAddress(port));
    this.register();
  }

  private startedAddress(port: number): Address {
    const number = this.nextId++;
    const target = sampleTarget({
      id: `t-${number}`,
      port,
      registeredAt: number,
    });
    const isUp = {isRunning: true, isListening: true, isEnding: false};
    return {target, ...isUp, runs: []};
  }

  private close(run: Run): void {
    run.isOpen = false;
    this.countOpen(run, -1);
  }

  private countOpen({call: {fingerprint}}: Run, change: number): void {
    this.open.set(fingerprint, (this.open.get(fingerprint) ?? 0) + change);
  }

  private noteEnd(fingerprint: string): void {
    const ends = (this.endsBeside.get(fingerprint) ?? 0) + 1;
    this.endsBeside.set(fingerprint, ends);
    const most = Math.max(ends, this.mostEndsBeside(fingerprint));
    this.mostEnds.set(fingerprint, most);
  }

  private registered(): Target[] {
    const targets = this.addresses.map(({target}) => target);
    return targets.filter(target => !this.expired.has(target));
  }

  /** Lets the instances read which targets are registered now. */
  private register(): void {
    const targets = this.registered();
    this.at(LIST_LAG_MS, () => {
      for (let i = 0; i < this.guards.length; i++) this.setList(i, targets);
    });
  }

  private setList(index: number, targets: readonly Target[]): void {
    this.lists[index] = targets;
    this.guards[index].onTargets(targets);
  }

  private async check({port}: Target): Promise<TargetCheck> {
    const address = this.addresses.find(({target}) => target.port === port);
    if (address?.isListening === true) return TARGET_CHECK.accepted;
    return this.options.isDark ? TARGET_CHECK.unknown : TARGET_CHECK.refused;
  }

  private createGuard(index: number): CrashGuard {
    const guard = CrashGuard.create({
      log,
      clock: this.clock,
      isLeaving: () => false,
      checkTarget: target => this.check(target),
      startTimer: (callback, delayMs) => this.at(delayMs, callback),
    });
    guard.onLosses = ({losses, target, isNews}) => {
      if (this.guards[index] !== guard) return;
      for (const loss of losses) this.tell(index, {kind: 'loss', loss});
      if (losses.length === 0 && isNews) {
        this.tellAll(index, peer => peer.onPeerTargetLost(target));
      }
    };
    guard.onSurvivals = survivals =>
      this.tell(index, {kind: 'survivals', survivals});
    guard.onUnresolved = run =>
      this.tell(index, {kind: 'unresolved', runs: [run]});
    guard.onQuarantined = quarantine =>
      this.saved.set(quarantine.fingerprint, quarantine);
    return guard;
  }

  private tell(from: number, notice: CrashNotice): void {
    this.tellAll(from, peer => applyCrashNotice(notice, peer));
  }

  private tellAll(from: number, apply: (peer: CrashGuard) => void): void {
    for (let to = 0; to < this.guards.length; to++) {
      if (to === from) continue;
      const {losesNotice, noticeDelayMs} = this.options;
      const repeatMs = losesNotice() ? REPEAT_MS : 0;
      this.at(repeatMs + noticeDelayMs(), () => apply(this.guards[to]));
    }
  }

  private at(delayMs: number, run: () => void): void {
    if (delayMs === Infinity) return;
    this.events.push({atMs: this.nowMs + delayMs, run});
  }
}
