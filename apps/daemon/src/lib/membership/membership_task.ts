import {MemberView} from '@applebend/core';
import {TargetDirectory} from './target_directory.js';

import type {PeerState} from '@applebend/core';
import type {InstanceList, ListedInstance} from '@applebend/externals';
import type {PeerIdentity} from '@applebend/protocol';
import type {Logger, Metrics} from '@applebend/telemetry';
import type {BusyMeter, Clock} from '@applebend/utils';
import type {PeerMesh} from '../peers/peer_mesh.js';
import type {Settings} from '../settings/settings.js';

/** @public */
export interface MembershipOptions {
  readonly settings: Settings;
  readonly list: InstanceList;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** The state that heartbeats report about this instance. */
  readonly ownState: () => PeerState;
  /** Called after each list read and evaluation, with or without a change. */
  readonly onChange: () => void;
  readonly busyMeter: BusyMeter;
}

const EVALUATION_INTERVAL_MS = 100;
/** A longer gap between two evaluations means that the process was paused. */
const PAUSE_THRESHOLD_MS = 400;

/**
 * Tracks the other instances and the targets: polls the instance list, sends
 * heartbeats, and removes peers whose heartbeats have stopped.
 *
 * @public
 */
export class MembershipTask {
  readonly view: MemberView;
  readonly targets = TargetDirectory.create();
  private routers: readonly ListedInstance[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private listReadCount = 0;
  private polling = false;
  private lastEvaluationMs: number;

  private constructor(private readonly options: MembershipOptions) {
    const {settings, clock} = options;
    this.view = MemberView.create(
      settings.instance,
      settings.timing.silence_ms
    );
    this.lastEvaluationMs = clock.monotonicMs();
  }

  static create(options: MembershipOptions): MembershipTask {
    return new MembershipTask(options);
  }

  /** A key that changes whenever the listed routers change. */
  get routersKey(): string {
    return this.routers.map(({id, state}) => `${id} ${state}`).join();
  }

  /** Whether the instance list has been read at least once. */
  get listRead(): boolean {
    return this.listReadCount > 0;
  }

  start(): void {
    const {timing} = this.options.settings;
    void this.poll();
    this.schedule(timing.list_poll_ms, () => void this.poll());
    this.schedule(timing.heartbeat_ms, () => this.sendHeartbeat());
    this.schedule(EVALUATION_INTERVAL_MS, () => this.evaluate());
  }

  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Sends a heartbeat to all peers now. */
  sendHeartbeat(): void {
    this.options.mesh().broadcast({
      type: 'heartbeat',
      sentAtMs: this.options.clock.monotonicMs(),
      state: this.options.ownState(),
    });
  }

  onHeartbeat(peer: PeerIdentity, state: PeerState): void {
    const {instance, incarnation} = peer;
    const nowMs = this.options.clock.monotonicMs();
    this.view.onHeartbeat(instance, incarnation, state, nowMs);
    this.targets.addLeavingTargets(state.leavingTargets);
  }

  private schedule(intervalMs: number, task: () => void): void {
    const {busyMeter} = this.options;
    this.timers.push(setInterval(() => busyMeter.measure(task), intervalMs));
  }

  private async poll(): Promise<void> {
    if (this.polling) return;
    this.polling = true;
    const read = await this.options.list.read();
    this.polling = false;
    if (!read.ok) {
      this.options.log.debug('list_unavailable', {reason: read.err.message});
      return;
    }
    this.listReadCount += 1;
    this.routers = read.value.filter(instance => instance.role === 'router');
    this.view.onList(
      this.routers.map(({id, state}) => ({id, leaving: state === 'leaving'}))
    );
    this.targets.onList(read.value);
    this.options.onChange();
  }

  private evaluate(): void {
    const nowMs = this.options.clock.monotonicMs();
    const gapMs = nowMs - this.lastEvaluationMs;
    this.lastEvaluationMs = nowMs;
    if (gapMs > PAUSE_THRESHOLD_MS) {
      // The silence of peers during a pause does not count against them.
      this.options.log.warn('paused', {gapMs});
      this.view.onPause(gapMs);
    }
    this.options.mesh().dialMissing(this.routers);
    for (const id of this.view.removeSilent(nowMs))
      this.options.mesh().closeLink(id);
    this.options.metrics.aliveMembers.set(this.view.aliveMembers(nowMs).length);
    this.options.onChange();
  }
}
