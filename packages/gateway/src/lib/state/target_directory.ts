/** The registered targets by service, with what is known of each. */
import {FirstEventModel, TARGET_STATE} from '@applebend/routing';
import {TargetEntry} from './target_entry.js';

import type {FleetConfig, TargetLoad, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {TargetInspector} from '../ports.js';
import type {PeerLoadTotals, LoadRow} from './load_totals.js';

/** @public */
export class TargetDirectory {
  private entries = new Map<string, TargetEntry>();
  private byService = new Map<string, TargetEntry[]>();
  private readonly models = new Map<string, FirstEventModel>();
  private config: FleetConfig | undefined;
  private known = false;

  private constructor(
    private readonly peerLoads: PeerLoadTotals,
    private readonly inspector: TargetInspector,
    private readonly log: Logger,
    private readonly isFirstStart: boolean
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
  get isKnown(): boolean {
    return this.known;
  }

  /** Targets that may get new work. */
  readyOf(service: string): readonly TargetEntry[] {
    return this.byService.get(service) ?? [];
  }

  get(id: string): TargetEntry | undefined {
    return this.entries.get(id);
  }

  all(): Iterable<TargetEntry> {
    return this.entries.values();
  }

  /** Targets with any work of the kind that is asked for. */
  loadRows(loadOf: (entry: TargetEntry) => TargetLoad): LoadRow[] {
    const rows: LoadRow[] = [];
    for (const entry of this.entries.values()) {
      const figures = loadOf(entry);
      if (figures.running === 0) continue;
      rows.push({target: entry.target.id, ...figures});
    }
    return rows;
  }

  /** The model of first events that the engines of a service share. */
  modelOf(service: string): FirstEventModel {
    let model = this.models.get(service);
    if (model === undefined) {
      model = FirstEventModel.create();
      this.models.set(service, model);
    }
    return model;
  }

  onConfig(config: FleetConfig): void {
    this.config = config;
    for (const entry of this.entries.values()) this.updateMemory(entry);
  }

  onTargets(targets: readonly Target[]): void {
    const entries = new Map<string, TargetEntry>();
    for (const target of targets) entries.set(target.id, this.entryOf(target));
    for (const id of this.entries.keys()) {
      if (!entries.has(id)) this.log.info('target gone', {target: id});
    }
    this.entries = entries;
    this.known = true;
    void this.learnKeptParts();
    this.indexServices();
  }

  private entryOf(target: Target): TargetEntry {
    const known = this.entries.get(target.id);
    if (known === undefined || isOtherLife(known.target, target)) {
      this.log.info('target known', {
        target: target.id,
        service: target.service,
        state: target.state,
      });
      const model = this.modelOf(target.service);
      const entry = TargetEntry.create(target, model, this.peerLoads);
      this.updateMemory(entry);
      return entry;
    }
    if (known.target.state !== target.state) {
      const {id, state} = target;
      this.log.info('target state', {target: id, state});
    }
    known.target = target;
    return known;
  }

  /** Asks new engines, one after the other, which prompt parts they keep. */
  private async learnKeptParts(): Promise<void> {
    if (this.isFirstStart) return;
    for (const entry of this.entries.values()) {
      if (entry.memoryTokens === 0 || entry.askedForParts) continue;
      entry.askedForParts = true;
      const parts = await this.inspector.fetchCachedBlocks(entry.target);
      if (parts === undefined) continue;
      entry.prefixCache.touch(parts);
      const {id} = entry.target;
      this.log.info('kept parts read', {target: id, parts: parts.length});
    }
  }

  private updateMemory(entry: TargetEntry): void {
    const service = this.config?.services.get(entry.target.service);
    entry.setMemory(service?.engine?.kvTokens ?? 0);
  }

  private indexServices(): void {
    this.byService = new Map();
    for (const entry of this.entries.values()) {
      const {service, state} = entry.target;
      if (state !== TARGET_STATE.ready) continue;
      const list = this.byService.get(service) ?? [];
      list.push(entry);
      this.byService.set(service, list);
    }
  }
}

function isOtherLife(a: Target, b: Target): boolean {
  return (
    a.startedAtMs !== b.startedAtMs ||
    a.host !== b.host ||
    a.port !== b.port ||
    a.service !== b.service
  );
}
