import {
  DEPARTURE_KIND,
  Evacuations,
  FirstEventModel,
  ServiceVersions,
  incarnationOf,
  TARGET_STATE,
  TargetDepartures,
} from '@applebend/routing';
import {systemClock} from '@applebend/utils';
import {CachedBlockLoader} from './cached_block_loader.js';
import {ColdTargets} from './cold_targets.js';
import {TargetBackpressure} from './target_backpressure.js';
import {findIncarnation, TargetRecord} from './target_record.js';

import type {
  Departure,
  EvacuationChanges,
  EvacuationRead,
  EvacuationState,
  FleetConfig,
  Target,
  TargetList,
  TargetLoad,
} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {TargetInspector, TargetSignals} from '../ports.js';
import type {GatewaySettings} from '../settings.js';
import type {PeerLoadTotals, LoadRow} from './load_totals.js';

/** Called with what a target says of itself in a response. @public */
export type TargetSignalListener = (
  record: TargetRecord,
  signals: TargetSignals
) => void;

/** The registered targets, by id and by service. @public */
export class TargetDirectory {
  private records = new Map<string, TargetRecord>();
  private byService = new Map<string, TargetRecord[]>();
  private readonly models = new Map<string, FirstEventModel>();
  private readonly departures = TargetDepartures.create();
  /** The software versions of each service. */
  readonly versions = ServiceVersions.create();
  /** The failure domains whose targets get no new requests. */
  readonly evacuations = Evacuations.create();
  /** Which targets are cold, and what this instance may send to them. */
  readonly cold: ColdTargets;
  /** The pauses and rates that targets ask for. */
  readonly backpressure: TargetBackpressure;
  private readonly blockLoader: CachedBlockLoader;
  private config: FleetConfig | undefined;
  private loaded = false;
  /** Era of the store in which the present targets were read. */
  private storeEra = 0;

  private constructor(
    private readonly peerLoads: PeerLoadTotals,
    inspector: TargetInspector,
    private readonly log: Logger,
    private readonly settings: GatewaySettings,
    onSignals: TargetSignalListener
  ) {
    this.blockLoader = CachedBlockLoader.create({
      inspector,
      log,
      onSignals,
      isSkipped: ({target, coldStart}) =>
        this.evacuations.has(target.failureDomain) ||
        coldStart.isCold(systemClock.monotonicMs()),
    });
    this.cold = ColdTargets.create(settings, () => this.all(), log);
    this.backpressure = TargetBackpressure.create(() => this.records, log);
  }

  static create(
    peerLoads: PeerLoadTotals,
    inspector: TargetInspector,
    log: Logger,
    settings: GatewaySettings,
    onSignals: TargetSignalListener
  ): TargetDirectory {
    return new TargetDirectory(peerLoads, inspector, log, settings, onSignals);
  }

  /** Whether the registrations have been read at least once. */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /**
   * The targets of a service that may get new requests: those that are neither
   * leaving nor in an evacuated domain.
   */
  readyTargets(service: string): readonly TargetRecord[] {
    return this.byService.get(service) ?? [];
  }

  get(id: string): TargetRecord | undefined {
    return this.records.get(id);
  }

  /** Whether a target that was chosen may still get a request. */
  mayGetRequests(record: TargetRecord): boolean {
    return !this.hasDeparted(record) && this.isEligible(record);
  }

  /** Whether a target was removed, replaced, or is leaving. */
  hasDeparted(record: TargetRecord): boolean {
    const {id, state} = record.target;
    return this.records.get(id) !== record || state !== TARGET_STATE.ready;
  }

  /** Whether a registered target is neither leaving nor in an evacuated domain. */
  private isEligible({target}: TargetRecord): boolean {
    const {state, failureDomain} = target;
    return state === TARGET_STATE.ready && !this.evacuations.has(failureDomain);
  }

  /** Whether an incarnation, see `incarnationOf`, is known to be leaving. */
  isLeaving(incarnation: string): boolean {
    return this.departures.isLeaving(incarnation);
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

  onConfig(config: FleetConfig, nowMs: number): void {
    this.config = config;
    this.versions.setLongestStreamMs(config.routes.longestTimeoutMs);
    for (const record of this.records.values()) this.updateMemoryTokens(record);
    this.cold.onConfig(config, nowMs);
  }

  /** Called before the targets of the domain may get requests again. */
  onEvacuationEnded(domain: string, nowMs: number): void {
    this.log.info('domain evacuation ended', {domain});
    this.cold.onEvacuationEnded(domain, nowMs);
  }

  /**
   * Replaces the registered targets. Records of targets that stay registered and
   * have not restarted are kept.
   */
  onTargets(list: TargetList, nowMs: number): void {
    this.storeEra = list.storeEra;
    const records = new Map<string, TargetRecord>();
    const targets = this.departures.apply(list, nowMs);
    for (const target of targets) {
      const record = this.recordFor(target, nowMs);
      records.set(target.id, record);
      // A copy of the store has registrations of former times.
      const isRenewed = target.registeredAt >= list.restoredBefore;
      const isNew = this.records.get(target.id) !== record;
      if (isRenewed || isNew) record.coldStart.onRegistered(target, nowMs);
    }
    const registered = targets.map(({service, softwareVersion}) => ({
      service,
      version: softwareVersion,
    }));
    this.versions.setRegistered(registered, nowMs);
    for (const [id, record] of this.records) {
      if (!records.has(id)) this.logDeparture('target removed', record, nowMs);
    }
    this.records = records;
    this.loaded = true;
    this.loadCachedBlocks();
    this.indexServices();
  }

  /** Applies what the operator's records showed of evacuations. */
  onEvacuations(read: EvacuationRead, nowMs: number): void {
    this.applyEvacuations(this.evacuations.onRead(read, nowMs), nowMs);
  }

  /** Applies the evacuations that the parent holds. */
  onPeerEvacuations(state: EvacuationState, nowMs: number): void {
    this.applyEvacuations(this.evacuations.onState(state, nowMs), nowMs);
  }

  /** The departures of the last minutes, for peers that missed them. */
  recentDepartures(nowMs: number): Departure[] {
    return this.departures.recent(nowMs);
  }

  /**
   * Records that a target said that it is leaving: it gets no new requests,
   * whatever is registered. Returns the departure if it is news.
   */
  onLeaving({target}: TargetRecord, nowMs: number): Departure | undefined {
    const {id, startedAtMs} = target;
    const departure = {
      kind: DEPARTURE_KIND.leaving,
      target: {id, startedAtMs},
      storeEra: this.storeEra,
    };
    return this.onDeparture(departure, nowMs) ? departure : undefined;
  }

  /** Records a departure noticed here or by a peer; returns whether it is news. */
  onDeparture(departure: Departure, nowMs: number): boolean {
    if (!this.departures.add(departure, nowMs)) return false;
    const record = this.records.get(departure.target.id);
    if (record === undefined) return true;
    if (!this.isLeaving(incarnationOf(record.target))) return true;
    if (record.target.state === TARGET_STATE.leaving) return true;
    record.target = {...record.target, state: TARGET_STATE.leaving};
    this.logDeparture('target leaving', record, nowMs);
    this.indexServices();
    return true;
  }

  /**
   * Ejects a lost target. Without its requests it looks idle, so all those that it
   * broke off would choose it again.
   */
  onLost(incarnation: string, nowMs: number): void {
    const record = findIncarnation(this.all(), incarnation);
    if (record?.health.isUsable(nowMs)) record.health.onUnreachable(nowMs);
  }

  /** The last sends name each request that reached the target late. */
  private logDeparture(
    event: string,
    {target, recentSends}: TargetRecord,
    nowMs: number
  ): void {
    const {id, service, registeredAt} = target;
    const lastSends = recentSends.list(nowMs);
    this.log.info(event, {target: id, service, registeredAt, lastSends});
  }

  private applyEvacuations(
    {begun, ended}: EvacuationChanges,
    nowMs: number
  ): void {
    if (begun.length + ended.length === 0) return;
    for (const domain of begun) this.log.info('domain evacuated', {domain});
    for (const domain of ended) this.onEvacuationEnded(domain, nowMs);
    this.indexServices();
    this.loadCachedBlocks();
  }

  /** The updated record of a target; a new one if the target restarted. */
  private recordFor(target: Target, nowMs: number): TargetRecord {
    const existing = this.records.get(target.id);
    if (existing === undefined || isRestarted(existing.target, target)) {
      this.log.info('target registered', {
        target: target.id,
        service: target.service,
        version: target.softwareVersion,
        state: target.state,
        startedAtMs: target.startedAtMs,
        registeredAt: target.registeredAt,
      });
      const model = this.firstEventModelOf(target.service);
      const {peerLoads} = this;
      const record = TargetRecord.create(target, model, peerLoads, existing);
      this.updateMemoryTokens(record);
      this.cold.setShare(record, nowMs);
      return record;
    }
    if (existing.target.state !== target.state) {
      const {id, state, registeredAt} = target;
      const lastSends = existing.recentSends.list(nowMs);
      const fields = {target: id, state, registeredAt, lastSends};
      this.log.info('target state', fields);
    }
    existing.target = target;
    return existing;
  }

  /** At the first start of a fleet all prefix caches are empty. */
  private loadCachedBlocks(): void {
    if (this.settings.isFleetBootstrap) return;
    void this.blockLoader.load(this.records.values());
  }

  /** A target is an engine if its configured service has one. */
  private updateMemoryTokens(record: TargetRecord): void {
    const service = this.config?.services.get(record.target.service);
    record.setMemoryTokens(service?.engine?.kvTokens ?? 0);
  }

  private indexServices(): void {
    this.byService = new Map();
    for (const record of this.records.values()) {
      if (!this.isEligible(record)) continue;
      const {service} = record.target;
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
