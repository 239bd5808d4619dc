import {ColdOwners, coldShareOf, incarnationOf} from '@applebend/routing';
import {findIncarnation} from './target_record.js';

import type {
  ColdBound,
  ColdReason,
  ColdShare,
  FleetConfig,
} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {GatewaySettings} from '../settings.js';
import type {TargetRecord} from './target_record.js';

/** How the targets of a service are limited while they are cold. */
interface ServiceLimit {
  readonly durationMs: number;
  readonly share: ColdShare;
}

/**
 * Which shares of the rates of cold targets belong to this instance, and which
 * targets are cold.
 *
 * @internal
 */
export class ColdTargets {
  private readonly owners: ColdOwners;
  private limits: ReadonlyMap<string, ServiceLimit> = new Map();
  /** Whether this instance could own shares at the last update. */
  private wasActive = false;
  /** Targets that were cold at the last update, by id. */
  private readonly cold = new Map<string, ColdReason>();

  private constructor(
    {instance, isFleetBootstrap}: GatewaySettings,
    private readonly bound: ColdBound,
    private readonly records: () => Iterable<TargetRecord>,
    private readonly log: Logger
  ) {
    this.owners = ColdOwners.create(instance, isFleetBootstrap);
  }

  /** @param records - returns all targets */
  static create(
    settings: GatewaySettings,
    records: () => Iterable<TargetRecord>,
    log: Logger
  ): ColdTargets {
    return new ColdTargets(settings, settings.coldBound, records, log);
  }

  /** Whether some service limits what its cold targets get. */
  get isLimited(): boolean {
    return this.limits.size > 0;
  }

  onConfig({services}: FleetConfig, nowMs: number): void {
    const limits = new Map<string, ServiceLimit>();
    for (const {name, coldStart} of services.values()) {
      const share = coldShareOf(coldStart, this.bound);
      if (coldStart === undefined || share === undefined) continue;
      limits.set(name, {durationMs: coldStart.durationMs, share});
    }
    this.limits = limits;
    this.setShares(nowMs);
  }

  /** Whether the registration of some target has to be read by this instance. */
  needsRenewals(nowMs: number): boolean {
    if (!this.isLimited) return false;
    for (const {coldStart} of this.records()) {
      if (coldStart.needsRenewal(nowMs)) return true;
    }
    return false;
  }

  /** Called with instances that are listed in the store. */
  onListed(instances: readonly string[], nowMs: number): void {
    if (this.owners.add(instances, nowMs)) this.setShares(nowMs);
  }

  /**
   * Records that a target is lost, as seen here or by a peer.
   *
   * @param incarnation - as `incarnationOf` names it
   */
  onLoss(incarnation: string, nowMs: number): void {
    const record = findIncarnation(this.records(), incarnation);
    record?.coldStart.onTargetLoss(nowMs);
  }

  /** Incarnations of targets that were lost, for peers that start. */
  lost(nowMs: number): string[] {
    return [...this.records()]
      .filter(({coldStart}) => coldStart.isLost(nowMs))
      .map(({target}) => incarnationOf(target));
  }

  /** Records that the evacuation of a failure domain ended. */
  onEvacuationEnded(failureDomain: string, nowMs: number): void {
    for (const {target, coldStart} of this.records()) {
      if (target.failureDomain !== failureDomain) continue;
      coldStart.onEvacuationEnded(nowMs);
    }
  }

  /** Sets what this instance may send to a target while that is cold. */
  setShare({target, coldStart}: TargetRecord, nowMs: number): void {
    const limit = this.limits.get(target.service);
    if (limit === undefined) {
      coldStart.setShare(undefined, 0, nowMs);
      return;
    }
    const {durationMs, share} = limit;
    const isOwner = this.owners.isOwner(target.id, share.owners, nowMs);
    coldStart.setShare(durationMs, isOwner ? share.ratePerS : 0, nowMs);
  }

  /**
   * Applies what time has changed, and logs which targets became cold or warm.
   * Returns the number of cold targets.
   */
  update(nowMs: number): number {
    const isActive = this.owners.isActive(nowMs);
    if (isActive !== this.wasActive) this.setShares(nowMs);
    this.wasActive = isActive;
    const present = new Set<string>();
    for (const record of this.records()) {
      present.add(record.target.id);
      this.logChange(record, nowMs);
    }
    for (const id of this.cold.keys()) {
      if (!present.has(id)) this.cold.delete(id);
    }
    return this.cold.size;
  }

  private logChange({target, coldStart}: TargetRecord, nowMs: number): void {
    const {id, service} = target;
    const reason = coldStart.reason(nowMs);
    const known = this.cold.get(id);
    if (reason === known) return;
    if (reason === undefined) {
      this.cold.delete(id);
      this.log.info('target warm', {target: id, service, reason: known});
      return;
    }
    this.cold.set(id, reason);
    const leftMs = Math.round(coldStart.warmAtMs - nowMs);
    const ratePerS = coldStart.rate(nowMs);
    this.log.info('target cold', {
      target: id,
      service,
      reason,
      leftMs,
      ratePerS,
    });
  }

  private setShares(nowMs: number): void {
    for (const record of this.records()) this.setShare(record, nowMs);
  }
}
