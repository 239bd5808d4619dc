/** The registered targets by service, with what is known of each. */
import {FirstEventModel, TARGET_STATE} from '@applebend/routing';
import {TargetRecord} from './target_record.js';

import type {FleetConfig, TargetLoad, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {TargetInspector} from '../ports.js';
import type {PeerLoadTotals, LoadRow} from './load_totals.js';

/** @public */
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
    isFirstStart: boolean
  ): TargetDirectory {
    return new TargetDirectory(peerLoads, inspector, log, isFirstStart);
  }

  /** Whether the registrations were read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** Targets that may get new work. */
  readyTargets(service: string): readonly TargetRecord[] {
    return this.byService.get(service) ?? [];
  }

  get(id: string): TargetRecord | undefined {
    return this.records.get(id);
  }

  all(): Iterable<TargetRecord> {
    return this.records.values();
  }

  /** Targets with any work of the kind that is asked for. */
  loadRows(loadOf: (record: TargetRecord) => TargetLoad): LoadRow[] {
    const rows: LoadRow[] = [];
    for (const record of this.records.values()) {
      const figures = loadOf(record);
      if (figures.running === 0) continue;
      rows.push({target: record.target.id, ...figures});
    }
    return rows;
  }

  /** The model of first events that the engines of a service share. */
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

  onTargets(targets: readonly Target[]): void {
    const records = new Map<string, TargetRecord>();
    for (const target of targets)
      records.set(target.id, this.updateRecord(target));
    for (const id of this.records.keys()) {
      if (!records.has(id)) this.log.info('target gone', {target: id});
    }
    this.records = records;
    this.loaded = true;
    void this.loadCachedBlocks();
    this.indexServices();
  }

  private updateRecord(target: Target): TargetRecord {
    const known = this.records.get(target.id);
    if (known === undefined || isRestarted(known.target, target)) {
      this.log.info('target known', {
        target: target.id,
        service: target.service,
        state: target.state,
      });
      const model = this.firstEventModelOf(target.service);
      const record = TargetRecord.create(target, model, this.peerLoads);
      this.updateMemoryTokens(record);
      return record;
    }
    if (known.target.state !== target.state) {
      const {id, state} = target;
      this.log.info('target state', {target: id, state});
    }
    known.target = target;
    return known;
  }

  /** Asks new engines, one after the other, which prompt parts they keep. */
  private async loadCachedBlocks(): Promise<void> {
    if (this.isFleetBootstrap) return;
    for (const record of this.records.values()) {
      if (record.memoryTokens === 0 || record.cachedBlocksRequested) continue;
      record.cachedBlocksRequested = true;
      const parts = await this.inspector.fetchCachedBlocks(record.target);
      if (parts === undefined) continue;
      record.prefixCache.touch(parts);
      const {id} = record.target;
      this.log.info('kept parts read', {target: id, parts: parts.length});
    }
  }

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

function isRestarted(a: Target, b: Target): boolean {
  return (
    a.startedAtMs !== b.startedAtMs ||
    a.host !== b.host ||
    a.port !== b.port ||
    a.service !== b.service
  );
}
