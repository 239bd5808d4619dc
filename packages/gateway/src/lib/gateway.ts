import {Random, systemClock} from '@applebend/utils';
import {VersionArchive} from './archive/version_archive.js';
import {QuarantineArchive} from './archive/quarantine_archive.js';
import {whenDrained} from './drain.js';
import {FleetPorts} from './fleet_ports.js';
import {CustomerUsageLog} from './front/customer_usage_log.js';
import {FrontServer} from './front/front_server.js';
import {ListenerProbe} from './front/listener_probe.js';
import {RequestReports} from './front/request_reports.js';
import {LoopMonitor} from './loop_monitor.js';
import {gaugeValues, loadFigures} from './metrics/gateway_figures.js';
import {GatewayMetrics} from './metrics/gateway_metrics.js';
import {PeerExchange} from './peers/peer_exchange.js';
import {TargetReporter} from './peers/target_reporter.js';
import {FleetState} from './state/fleet_state.js';
import {TargetAgent} from './upstream/target_agent.js';

import type {FleetConfig, TargetList} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {PortOptions} from '@applebend/utils';
import type {ExchangeDeps} from './front/exchange_deps.js';
import type {
  HeaderCodec,
  PeerInfo,
  RecordArchive,
  StateSource,
  TargetInspector,
} from './ports.js';
import type {GatewaySettings} from './settings.js';

/** The settings and platform adapters of a gateway. @public */
export interface GatewayPorts {
  readonly settings: GatewaySettings;
  readonly stateSource: StateSource;
  readonly archive: RecordArchive;
  readonly codec: HeaderCodec;
  readonly inspector: TargetInspector;
  readonly log: Logger;
  /** Aborted when the process is told to stop; ends a start that waits for a port. */
  readonly stopSignal?: AbortSignal;
}

/** Bounds the line that names the requests without a response at a stop. */
const MAX_LOGGED_ATTEMPTS = 20;
/** Time between two updates of which targets are cold. */
const COLD_UPDATE_MS = 250;

/**
 * One instance of the gateway: its shared state, its servers and its exchange
 * of state with peers.
 *
 * @public
 */
export class Gateway {
  private readonly state: FleetState;
  private readonly peers: PeerExchange;
  private readonly reporter: TargetReporter;
  private readonly quarantines: QuarantineArchive;
  private readonly versionArchive: VersionArchive;
  private readonly loop: LoopMonitor;
  private readonly exchangeDeps: ExchangeDeps;
  private readonly reports: RequestReports;
  private readonly usageLog: CustomerUsageLog;
  private readonly metrics = GatewayMetrics.create();
  private readonly listenerProbe: ListenerProbe;
  private readonly fleetPorts: FleetPorts;
  private front: FrontServer | undefined;
  private shutdown: Promise<void> | undefined;
  private coldTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly ports: GatewayPorts) {
    const {settings, stateSource, archive, codec, inspector, log} = ports;
    const random = Random.create(Math.trunc(Math.random() * 0x7fffffff));
    this.state = FleetState.create(settings, stateSource, inspector, log);
    this.reports = RequestReports.create({
      log,
      clock: systemClock,
      metrics: this.metrics,
      bodyMemory: this.state.bodyMemory,
    });
    this.usageLog = CustomerUsageLog.create(log, systemClock, () =>
      this.state.shareLevels(systemClock.monotonicMs())
    );
    this.peers = PeerExchange.create({
      state: this.state,
      clock: systemClock,
      log,
      source: stateSource,
      incarnation: random.int(1, 0x7fffffff),
    });
    this.reporter = TargetReporter.create({
      state: this.state,
      peers: this.peers,
      metrics: this.metrics,
      clock: systemClock,
    });
    this.state.onTargetSignals = (record, signals) =>
      this.reporter.onSignals(record, signals);
    const {crashGuard} = this.state;
    this.quarantines = QuarantineArchive.create({
      archive,
      log,
      ownQuarantines: () => crashGuard.ownQuarantines(),
    });
    crashGuard.onLosses = loss => this.reporter.onLoss(loss);
    crashGuard.onCheckResult = result => this.metrics.onTargetChecked(result);
    crashGuard.onSurvivals = survivals =>
      this.peers.announce({kind: 'survivals', survivals});
    crashGuard.onUnresolved = run =>
      this.peers.announce({kind: 'unresolved', runs: [run]});
    crashGuard.onQuarantined = quarantine =>
      void this.quarantines.save(quarantine);
    this.versionArchive = VersionArchive.create({
      archive,
      state: this.state,
      clock: systemClock,
      log,
      onAppended: isSaved => this.onJournalAppended(isSaved),
    });
    this.listenerProbe = ListenerProbe.create({
      address: settings.callers,
      clock: systemClock,
      log,
      figures: () => loadFigures(this.state, this.front),
    });
    this.fleetPorts = FleetPorts.create({
      settings,
      log,
      stopSignal: ports.stopSignal,
      startPeers: port => this.startPeers(port),
      configRecord: () => stateSource.configRecord(),
      isReady: () => this.checkReadiness(),
      metricsText: () => this.metricsText(),
    });
    this.loop = LoopMonitor.create(
      this.state.overloadGuard,
      () => this.listenerProbe.delayMs,
      systemClock,
      log
    );
    this.exchangeDeps = {
      state: this.state,
      codec,
      agent: TargetAgent.create(),
      clock: systemClock,
      random: () => random.uniform(),
      onPlaced: (target, context, isCacheMiss) =>
        this.reporter.onPlaced(target, context, isCacheMiss),
      onUsage: usage => {
        this.peers.onUsage(usage);
        this.usageLog.onUsage(usage);
      },
      onOverloaded: () => this.metrics.onOverloaded(),
      onBodyRefused: (kind, customer) =>
        this.reports.onBodyRefused(kind, customer),
      onCallerDisconnected: () => this.metrics.onCallerDisconnected(),
      onPipeliningClosed: () => this.reports.onPipeliningClosed(),
      onInvalidResponse: (target, failure) =>
        this.reports.onInvalidResponse(target, failure),
      onFault: (err, attemptId) => this.reports.onFault(err, attemptId),
      onEnd: report => this.reports.onEnd(report),
    };
  }

  /**
   * Starts an instance. Resolves when its ports are open; it reports ready once
   * it has read a configuration and the targets. A port that is in use is waited
   * for. Rejects with a `PortError` if a port cannot be opened, or if
   * `stopSignal` is aborted first (`start_stopped`): then no request has been
   * accepted, and all ports are closed.
   */
  static async create(ports: GatewayPorts): Promise<Gateway> {
    const gateway = new Gateway(ports);
    try {
      await gateway.start();
    } catch (err) {
      gateway.halt();
      throw err;
    }
    return gateway;
  }

  /**
   * Reports not ready, lets running requests finish within the grace period and
   * stops. Repeated calls return the same promise.
   */
  shutDown(): Promise<void> {
    this.shutdown ??= this.drainAndStop();
    return this.shutdown;
  }

  /**
   * Stops as a killed process does: no request finishes and no peer is told. For
   * tests of restarts.
   *
   * @internal
   */
  halt(): void {
    this.front?.halt();
    this.peers.halt();
    this.stopParts();
  }

  /** The callers' port comes last: until then no request can be cut. */
  private async start(): Promise<void> {
    const {settings, log} = this.ports;
    this.loop.start();
    await this.fleetPorts.open();
    const port = this.fleetPorts.portOptions('callers', settings.callers);
    this.front = await FrontServer.create(this.exchangeDeps, port);
    this.listenerProbe.start();
    this.applyLimits();
    log.info('started', {isFleetBootstrap: settings.isFleetBootstrap});
  }

  /**
   * The store is read from when the peers' port is open. Earlier, a predecessor
   * with the same id may still run, and without messages of peers this instance
   * would take itself for the only one, which writes the journal.
   */
  private async startPeers(port: PortOptions): Promise<void> {
    await this.peers.open(port);
    this.peers.start();
    this.startState();
  }

  private startState(): void {
    const {settings, stateSource} = this.ports;
    stateSource.start({
      onConfig: config => this.onConfig(config),
      onEvacuations: read =>
        this.state.targets.onEvacuations(read, systemClock.monotonicMs()),
      onTargets: list => this.onTargets(list),
      onPeers: peers => this.onPeers(peers),
      usesPeerConfirmations: () => this.peers.usesPeerConfirmations,
      hasReader: () => this.peers.hasReader,
      needsRenewals: () =>
        this.state.targets.cold.needsRenewals(systemClock.monotonicMs()),
      requestConfirmation: targetsKey =>
        this.peers.requestConfirmation(targetsKey),
      fetchConfigRecord: () => this.peers.fetchConfigRecord(),
    });
    void this.loadQuarantines();
    this.versionArchive.start(settings.isFleetBootstrap);
  }

  /** Whether the balancer, which asks, may send new connections here. */
  private checkReadiness(): boolean {
    const {isReady: isLoaded, overloadGuard, rotationNotice} = this.state;
    const {isResponsive} = this.listenerProbe;
    const isOpen = this.front !== undefined;
    const isReady =
      isOpen && isLoaded && isResponsive && overloadGuard.isHealthy;
    rotationNotice.onCheck(isReady, systemClock.monotonicMs());
    return isReady;
  }

  private async loadQuarantines(): Promise<void> {
    for (const quarantine of await this.quarantines.load()) {
      this.state.crashGuard.onQuarantine(quarantine);
    }
  }

  private onJournalAppended(isSaved: boolean): void {
    this.metrics.onJournalAppended(isSaved);
    const {instance} = this.ports.settings;
    if (isSaved) this.peers.announce({kind: 'journal_saved', instance});
  }

  private onTargets(list: TargetList): void {
    this.state.onTargets(list, systemClock.monotonicMs());
    this.versionArchive.onVersions();
  }

  private onPeers(peers: readonly PeerInfo[]): void {
    const ids = peers.map(({instance}) => instance);
    this.state.targets.cold.onListed(ids, systemClock.monotonicMs());
    this.peers.addListedPeers(peers);
  }

  private onConfig(config: FleetConfig): void {
    this.state.onConfig(config, systemClock.monotonicMs());
    this.applyLimits();
    // Nothing has to be updated where no service limits its cold targets.
    if (!this.state.targets.cold.isLimited) return;
    this.coldTimer ??= setInterval(() => this.updateCold(), COLD_UPDATE_MS);
  }

  /** The configuration and the open port may come in any order. */
  private applyLimits(): void {
    const limits = this.state.config?.limits;
    if (limits !== undefined) this.front?.onLimits(limits);
  }

  private updateCold(): number {
    return this.state.targets.cold.update(systemClock.monotonicMs());
  }

  private metricsText(): Promise<string> {
    const {state, front, listenerProbe} = this;
    const {stateSource: source} = this.ports;
    const coldTargets = this.updateCold();
    return this.metrics.text(
      gaugeValues({state, source, front, listenerProbe, coldTargets})
    );
  }

  /**
   * Stays for the lame-duck period even if no request is running, then closes
   * once all requests have ended or the grace period is nearly over.
   */
  private async drainAndStop(): Promise<void> {
    const {log, settings} = this.ports;
    log.info('stopping', {active: this.front?.activeCount});
    this.state.isStopping = true;
    this.front?.beginShutdown();
    const activeCount = () => this.front?.activeCount;
    await whenDrained(activeCount, settings.shutdownGraceMs);
    this.front?.close();
    this.peers.stop();
    this.stopParts();
    this.usageLog.flush();
    this.reports.flush();
    const unanswered = this.front?.unansweredAttempts ?? [];
    log.info('stopped', {
      cut: this.front?.activeCount,
      unanswered: unanswered.slice(0, MAX_LOGGED_ATTEMPTS),
    });
  }

  private stopParts(): void {
    this.fleetPorts.close();
    this.loop.stop();
    this.listenerProbe.stop();
    clearInterval(this.coldTimer);
    this.ports.stateSource.stop();
    this.quarantines.stop();
    this.versionArchive.stop();
    this.exchangeDeps.agent.destroy();
  }
}
