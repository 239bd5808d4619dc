import {streamKeyOf} from '../front/stream_version.js';

import type {Clock} from '@applebend/utils';
import type {ObservedLoss} from '../crash/crash_guard.js';
import type {RequestContext} from '../front/request_context.js';
import type {GatewayMetrics} from '../metrics/gateway_metrics.js';
import type {TargetSignals} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {TargetRecord} from '../state/target_record.js';
import type {PeerExchange} from './peer_exchange.js';

/** @internal */
export interface TargetReporterOptions {
  readonly state: FleetState;
  readonly peers: PeerExchange;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
}

/** Applies what this instance observes of targets, and tells its peers. @internal */
export class TargetReporter {
  private constructor(private readonly options: TargetReporterOptions) {}

  static create(options: TargetReporterOptions): TargetReporter {
    return new TargetReporter(options);
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }

  /**
   * Called after a request was placed.
   *
   * @param isCacheMiss - see `ExchangeDeps.onPlaced`
   */
  onPlaced(
    targetId: string,
    context: RequestContext,
    isCacheMiss: boolean
  ): void {
    this.noteStream(targetId, context);
    this.countLimited(targetId);
    this.options.peers.onPlaced(targetId, context.prompt, isCacheMiss);
  }

  /** Called with what a target says of itself in a response. */
  onSignals(
    record: TargetRecord,
    {isLeaving, pauseMs, limitPerS}: TargetSignals
  ): void {
    const {state, peers, metrics} = this.options;
    const {targets} = state;
    const {nowMs} = this;
    const {id} = record.target;
    if (pauseMs !== undefined) {
      targets.backpressure.onPause(record, pauseMs, nowMs);
      peers.announce({kind: 'pause', target: id, pauseMs});
      metrics.onTargetPaused();
    }
    if (
      limitPerS !== undefined &&
      targets.backpressure.onLimit(record, limitPerS, nowMs)
    ) {
      peers.announce({kind: 'limit', target: id, limitPerS});
    }
    if (!isLeaving) return;
    const departure = targets.onLeaving(record, nowMs);
    if (departure === undefined) return;
    peers.announce({kind: 'departure', departure});
    metrics.onTargetLeaving();
  }

  /**
   * Tells the peers before the callers of the lost requests can return. A peer
   * may have had requests at the target that are not connected any more.
   */
  onLoss({target, losses, isNews}: ObservedLoss): void {
    const {state, peers, metrics} = this.options;
    state.targets.cold.onLoss(target, this.nowMs);
    if (isNews) metrics.onTargetLost();
    if (losses.length > 0) {
      peers.announceNow(losses.map(loss => ({kind: 'loss', loss})));
    } else if (isNews) {
      peers.announceNow([{kind: 'refused', target}]);
    }
  }

  /** Notes for all instances at which software version a stream begins. */
  private noteStream(targetId: string, context: RequestContext): void {
    const {state, peers} = this.options;
    const attempt = streamKeyOf(context);
    const version = state.targets.get(targetId)?.target.softwareVersion;
    if (attempt === undefined || version === undefined) return;
    state.addStream(attempt, version, this.nowMs);
    peers.announce({kind: 'streams', version, attempts: [attempt]});
  }

  /** Counts a request, for all instances, to a target that limits their rate. */
  private countLimited(targetId: string): void {
    const {state, peers} = this.options;
    const limit = state.targets.get(targetId)?.rateLimit;
    const {nowMs} = this;
    if (limit?.isInForce(nowMs) !== true) return;
    limit.onSent(nowMs);
    peers.onLimitedSend(targetId);
  }
}
