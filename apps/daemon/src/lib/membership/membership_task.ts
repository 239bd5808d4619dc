/**
 * Owns what this instance knows of the others: it polls the instance list,
 * beats, and tells silent peers from living ones.
 */
import {MemberView} from '@applebend/core';
import {TargetDirectory} from './target_directory.js';

import type {PeerState} from '@applebend/core';
import type {InstanceList, ListedInstance} from '@applebend/externals';
import type {PeerIdentity} from '@applebend/protocol';
import type {Logger, Metrics} from '@applebend/telemetry';
import type {BusyMeter, Clock} from '@applebend/utils';
import type {PeerMesh} from '../peers/peer_mesh.js';
import type {Settings} from '../settings/settings.js';

/** What membership is made from. @public */
export interface MembershipParts {
  readonly settings: Settings;
  readonly list: InstanceList;
  readonly mesh: () => PeerMesh;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** What this instance says of itself. */
  readonly ownState: () => PeerState;
  readonly onChange: () => void;
  readonly busy: BusyMeter;
}

const EVALUATE_EVERY_MS = 100;
/** A longer gap between two turns means that this process was paused. */
const PAUSE_MS = 400;

/** @public */
export class MembershipTask {
  readonly view: MemberView;
  readonly targets = TargetDirectory.create();
  private routers: readonly ListedInstance[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private listReads = 0;
  private polling = false;
  private lastTurnMs: number;

  private constructor(private readonly parts: MembershipParts) {
    const {settings, clock} = parts;
    this.view = MemberView.create(
      settings.instance,
      settings.timing.silence_ms
    );
    this.lastTurnMs = clock.monotonicMs();
  }

  static create(parts: MembershipParts): MembershipTask {
    return new MembershipTask(parts);
  }

  /** Differs whenever the listed routers do. */
  get routersKey(): string {
    return this.routers.map(({id, state}) => `${id} ${state}`).join();
  }

  /** Whether the instance list has been read at least once. */
  get listRead(): boolean {
    return this.listReads > 0;
  }

  start(): void {
    const {timing} = this.parts.settings;
    void this.poll();
    this.every(timing.list_poll_ms, () => void this.poll());
    this.every(timing.heartbeat_ms, () => this.beat());
    this.every(EVALUATE_EVERY_MS, () => this.takeTurn());
  }

  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
  }

  /** Sends a heartbeat to all peers now. */
  beat(): void {
    this.parts.mesh().broadcast({
      type: 'heartbeat',
      sentAtMs: this.parts.clock.monotonicMs(),
      state: this.parts.ownState(),
    });
  }

  onHeartbeat(peer: PeerIdentity, state: PeerState): void {
    const {instance, incarnation} = peer;
    const nowMs = this.parts.clock.monotonicMs();
    this.view.onHeartbeat(instance, incarnation, state, nowMs);
    this.targets.onSeenLeaving(state.leavingTargets);
  }

  private every(intervalMs: number, turn: () => void): void {
    const {busy} = this.parts;
    this.timers.push(setInterval(() => busy.measure(turn), intervalMs));
  }

  private async poll(): Promise<void> {
    if (this.polling) return;
    this.polling = true;
    const read = await this.parts.list.read();
    this.polling = false;
    if (!read.ok) {
      this.parts.log.debug('list_unavailable', {reason: read.err.message});
      return;
    }
    this.listReads += 1;
    this.routers = read.value.filter(instance => instance.role === 'router');
    this.view.onList(
      this.routers.map(({id, state}) => ({id, leaving: state === 'leaving'}))
    );
    this.targets.onList(read.value);
    this.parts.onChange();
  }

  private takeTurn(): void {
    const nowMs = this.parts.clock.monotonicMs();
    const gapMs = nowMs - this.lastTurnMs;
    this.lastTurnMs = nowMs;
    if (gapMs > PAUSE_MS) {
      this.parts.log.warn('paused', {gapMs});
      this.view.onPause(gapMs);
    }
    this.parts.mesh().dialMissing(this.routers);
    for (const id of this.view.removeSilent(nowMs)) this.parts.mesh().drop(id);
    this.parts.metrics.aliveMembers.set(this.view.aliveMembers(nowMs).length);
    this.parts.onChange();
  }
}
