import {FirstEventModel, TARGET_STATE} from '@applebend/routing';
import {TargetRecord} from './target_record.js';

import type {FleetConfig, TargetLoad, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {TargetInspector} from '../ports.js';
import type {PeerLoadTotals, LoadRow} from './load_totals.js';

/** The registered targets, by id and by service. @public */
export class TargetDirectory {
  private records = new Map<string, TargetRecord>();
  private byService = new Map<string, TargetRecord[]>();
  private readonly models = new Map<string, FirstEventModel>();
  private config: FleetConfig | undefined;
  private loaded = false;

  private constructor(
    private readonly peerLoads: PeerLoadTotals,
    private readonly inspector: TargetInspector,
    private readonly log: Logger,
    private readonly isFleetBootstrap: boolean
  ) {}

  static create(
    peerLoads: PeerLoadTotals,
    inspector: TargetInspector,
    log: Logger,
    isFleetBootstrap: boolean
  ): TargetDirectory {
    return new TargetDirectory(peerLoads, inspector, log, isFleetBootstrap);
  }

  /** Whether the registrations have been read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** The targets of a service that are not leaving. */
  readyTargets(service: string): readonly TargetRecord[] {
    return this.byService.get(service) ?? [];
  }

  get(id: string): TargetRecord | undefined {
    return this.records.get(id);
  }

  all(): Iterable<TargetRecord> {
    return this.records.values();
  }

  /** One row for each target whose selected load is not empty. */
  loadRows(loadOf: (record: TargetRecord) => TargetLoad): LoadRow[] {
    const rows: LoadRow[] = [];
    for (const record of this.records.values()) {
      const load = loadOf(record);
      if (load.running === 0) continue;
      rows.push({target: record.target.id, ...load});
    }
    return rows;
  }

  /** The latency model that all engines of a service share. */
  firstEventModelOf(service: string): FirstEventModel {
    let model = this.models.get(service);
    if (model === undefined) {
      model = FirstEventModel.create();
      this.models.set(service, model);
    }
    return model;
  }

  onConfig(config: FleetConfig): void {
    this.config = config;
    for (const record of this.records.values()) this.updateMemoryTokens(record);
  }

  /**
   * Replaces the registered targets. Records of targets that stay registered and
   * have not restarted are kept.
   */
  onTargets(targets: readonly Target[]): void {
    const records = new Map<string, TargetRecord>();
    for (const target of targets)
      records.set(target.id, this.recordFor(target));
    for (const id of this.records.keys()) {
      if (!records.has(id)) this.log.info('target removed', {target: id});
    }
    this.records = records;
    this.loaded = true;
    void this.loadCachedBlocks();
    this.indexServices();
  }

  /** The updated record of a target; a new one if the target restarted. */
  private recordFor(target: Target): TargetRecord {
    const existing = this.records.get(target.id);
    if (existing === undefined || isRestarted(existing.target, target)) {
      this.log.info('target registered', {
        target: target.id,
        service: target.service,
        state: target.state,
      });
      const model = this.firstEventModelOf(target.service);
      const record = TargetRecord.create(target, model, this.peerLoads);
      this.updateMemoryTokens(record);
      return record;
    }
    if (existing.target.state !== target.state) {
      const {id, state} = target;
      this.log.info('target state', {target: id, state});
    }
    existing.target = target;
    return existing;
  }

  /**
   * Queries the prefix caches of new engines, one engine at a time. At the
   * first start of a fleet they are empty and not queried.
   */
  private async loadCachedBlocks(): Promise<void> {
    if (this.isFleetBootstrap) return;
    for (const record of this.records.values()) {
      if (record.memoryTokens === 0 || record.cachedBlocksRequested) continue;
      record.cachedBlocksRequested = true;
      const blocks = await this.inspector.fetchCachedBlocks(record.target);
      if (blocks === undefined) continue;
      record.prefixCache.touch(blocks);
      const {id} = record.target;
      this.log.info('cached blocks read', {target: id, parts: blocks.length});
    }
  }

  /** A target is an engine if its configured service has one. */
  private updateMemoryTokens(record: TargetRecord): void {
    const service = this.config?.services.get(record.target.service);
    record.setMemoryTokens(service?.engine?.kvTokens ?? 0);
  }

  private indexServices(): void {
    this.byService = new Map();
    for (const record of this.records.values()) {
      const {service, state} = record.target;
      if (state !== TARGET_STATE.ready) continue;
      const list = this.byService.get(service) ?? [];
      list.push(record);
      this.byService.set(service, list);
    }
  }
}

/**
 * Whether two registrations of a target describe different incarnations of it,
 * or different services; its record is then replaced.
 */
function isRestarted(a: Target, b: Target): boolean {
  return (
    a.startedAtMs !== b.startedAtMs ||
    a.host !== b.host ||
    a.port !== b.port ||
    a.service !== b.service
  );
}
