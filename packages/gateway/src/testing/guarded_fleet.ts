import {LOG_LEVEL, Logger} from '@applebend/telemetry';
import {CrashGuard} from '../lib/crash/crash_guard.js';
import {TARGET_CHECK} from '../lib/crash/target_check.js';
import {applyCrashNotice, crashNoticesForStart} from '../lib/peers/notice.js';
import {sampleTarget} from './sample_target.js';

import type {EndedRun, Quarantine} from '@applebend/routing';
import type {CrashNotice} from '../lib/peers/notice.js';

/** What a request has in common with others. */
export type SampleRequest = Pick<EndedRun, 'fingerprint' | 'blocks'>;

interface Delivery {
  readonly atMs: number;
  readonly to: number;
  readonly notice: CrashNotice;
}

const log = Logger.create(LOG_LEVEL.error, {});

/** Instances with their crash guards, the notices on their way, and the store. */
export class GuardedFleet {
  readonly clock = {nowMs: 0, monotonicMs: () => 0, wallMs: () => 0};
  private readonly guards: CrashGuard[] = [];
  private deliveries: Delivery[] = [];
  private readonly saved = new Map<string, Quarantine>();
  /** Milliseconds until each instance has what is sent now. */
  delays: readonly number[] = [];
  /** When each target was lost. */
  readonly crashTimesMs: number[] = [];

  constructor(instances: number) {
    this.clock.monotonicMs = () => this.clock.nowMs;
    this.clock.wallMs = () => this.clock.nowMs;
    for (let i = 0; i < instances; i++) this.guards.push(this.createGuard(i));
  }

  /** Whether an instance refuses a request. */
  refuses(index: number, {fingerprint, blocks}: SampleRequest): boolean {
    const guard = this.guards[index];
    const keys = [fingerprint, ...blocks];
    return keys.some(key => guard.quarantineLeftMs(key) > 0);
  }

  /**
   * Sends a request to a target that it crashes, unless it is refused.
   *
   * @param beside - requests of other instances that the target is running
   */
  async crash(
    index: number,
    request: SampleRequest,
    beside: readonly (readonly [
      instance: number,
      request: SampleRequest,
    ])[] = []
  ): Promise<void> {
    if (this.refuses(index, request)) return;
    const target = sampleTarget({id: `t-${this.crashTimesMs.length}`});
    this.crashTimesMs.push(this.clock.nowMs);
    for (const [at, running] of [[index, request] as const, ...beside]) {
      await this.guards[at].onRunEnded(target, {
        ...running,
        writingMs: undefined,
        sentAtMs: this.clock.nowMs,
        endedAtMs: this.clock.nowMs,
        isBroken: true,
      });
    }
  }

  /** Lets a request run to its end; returns whether it was not refused. */
  serve(index: number, request: SampleRequest): boolean {
    if (this.refuses(index, request)) return false;
    this.guards[index].onBlocksRan(request.blocks);
    this.guards[index].onServed(request.fingerprint);
    return true;
  }

  /** Restarts instances together; they read the store and ask the others. */
  restart(indexes: readonly number[]): void {
    const others = this.guards.filter((_, i) => !indexes.includes(i));
    for (const index of indexes) {
      const guard = this.createGuard(index);
      informStarted(guard, this.saved.values(), others);
      this.guards[index] = guard;
    }
  }

  wait(ms: number): void {
    this.clock.nowMs += ms;
    const due = this.deliveries.filter(({atMs}) => atMs <= this.clock.nowMs);
    this.deliveries = this.deliveries.filter(d => !due.includes(d));
    for (const {to, notice} of due) applyCrashNotice(notice, this.guards[to]);
  }

  private createGuard(index: number): CrashGuard {
    const guard = CrashGuard.create({
      log,
      clock: this.clock,
      isLeaving: () => false,
      checkTarget: () => Promise.resolve(TARGET_CHECK.refused),
    });
    guard.onLosses = ({losses}) => {
      for (const loss of losses) this.send(index, {kind: 'loss', loss});
    };
    guard.onSurvivals = survivals =>
      this.send(index, {kind: 'survivals', survivals});
    guard.onQuarantined = quarantine =>
      this.saved.set(quarantine.fingerprint, quarantine);
    return guard;
  }

  private send(from: number, notice: CrashNotice): void {
    for (const [to, delayMs] of this.delays.entries()) {
      if (to === from) continue;
      const atMs = this.clock.nowMs + delayMs;
      this.deliveries.push({atMs, to, notice});
    }
  }
}

/** Gives a guard that starts what the store has and what the others tell it. */
export function informStarted(
  guard: CrashGuard,
  saved: Iterable<Quarantine>,
  others: readonly CrashGuard[]
): void {
  for (const quarantine of saved) guard.onQuarantine(quarantine);
  for (const other of others) {
    for (const notice of crashNoticesForStart(other)) {
      applyCrashNotice(notice, guard);
    }
  }
}
