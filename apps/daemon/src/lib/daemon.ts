import {randomBytes} from 'node:crypto';
import {OutputEstimator, RetryBudget} from '@applebend/core';
import {HttpInstanceListClient, HttpLogClient} from '@applebend/externals';
import {Logger, Metrics, Tracing} from '@applebend/telemetry';
import {BusyMeter, sleep, systemClock} from '@applebend/utils';
import {AdminServer} from './admin/admin_server.js';
import {CellRegistry} from './cells/cell_registry.js';
import {FleetPublisher} from './cells/fleet_publisher.js';
import {ClaimTask} from './claims/claim_task.js';
import {ConfigTask} from './config/config_task.js';
import {daemonStatus, collectGauges} from './admin/status.js';
import {EntryServer} from './entry/entry_server.js';
import {LossTask} from './losses/loss_task.js';
import {MembershipTask} from './membership/membership_task.js';
import {PeerEventHandler} from './peers/peer_event_handler.js';
import {PeerMesh} from './peers/peer_mesh.js';
import {Readiness} from './readiness.js';

import type {PeerState} from '@applebend/core';
import type {Settings} from './settings/settings.js';

const INCARNATION_BYTES = 6;
const CELL_TICK_INTERVAL_MS = 1000;
const INSTANCE_LIST_TIMEOUT_MS = 1500;
/** Time for peers to take over the cells of this instance. */
const HANDOVER_DELAY_MS = 300;
const CLAIM_FLUSH_TIMEOUT_MS = 3000;

/**
 * One instance of the fleet: creates its tasks and servers and connects them.
 * All instances run the same program; rendezvous hashing assigns the roles.
 *
 * @public
 */
export class Daemon {
  readonly incarnation = randomBytes(INCARNATION_BYTES).toString('base64url');
  readonly metrics = Metrics.create();
  readonly log: Logger;
  readonly membership: MembershipTask;
  readonly config: ConfigTask;
  readonly claims: ClaimTask;
  readonly losses: LossTask;
  readonly cells: CellRegistry;
  mesh!: PeerMesh;
  /** Undefined until the callers' port is open. */
  entry: EntryServer | undefined;
  private admin: AdminServer | undefined;
  /** Aborted when a drain begins. */
  private readonly startEnd = new AbortController();
  /** Ends a start that waits for a port. */
  private readonly startSignal: AbortSignal;
  private tracing!: Tracing;
  /** Time spent on links, cells and membership. */
  readonly busyMeter = BusyMeter.create();
  private readonly clock = systemClock;
  private readonly peerEvents: PeerEventHandler;
  private readonly readiness: Readiness;
  private readonly fleet: FleetPublisher;
  private readonly timers: NodeJS.Timeout[] = [];
  private stopped: Promise<void> | undefined;
  /** Whether messages can be sent to peers: from start to stop. */
  private meshReady = false;
  private readonly stoppedCallbacks: (() => void)[] = [];

  private constructor(
    readonly settings: Settings,
    logger: Logger,
    stopSignal: AbortSignal | undefined
  ) {
    this.log = logger;
    const ends = [this.startEnd.signal, stopSignal].flatMap(s => s ?? []);
    this.startSignal = AbortSignal.any(ends);
    const {instance, timing, platform, policy} = settings;
    const localAddress = settings.listen.peer.host;
    const log = HttpLogClient.create({
      baseUrl: platform.log_url,
      timeoutMs: timing.log_timeout_ms,
      localAddress,
    });
    const mesh = () => this.mesh;
    const clock = this.clock;
    this.membership = MembershipTask.create({
      settings,
      list: HttpInstanceListClient.create({
        baseUrl: platform.list_url,
        timeoutMs: INSTANCE_LIST_TIMEOUT_MS,
        localAddress,
      }),
      mesh,
      clock,
      log: this.log,
      metrics: this.metrics,
      ownState: () => this.ownState(),
      onChange: () => this.refreshCells(),
      busyMeter: this.busyMeter,
    });
    this.config = ConfigTask.create({
      instance,
      log,
      logger: this.log,
      metrics: this.metrics,
      snapshotEveryMs: timing.snapshot_every_ms,
      snapshotCandidates: () => this.fleet.viewFor().candidates,
      requestPeerState: () => this.mesh?.broadcast({type: 'config_request'}),
      onChange: () => this.onConfigChange(),
    });
    this.claims = ClaimTask.create({
      owner: `${instance}/${this.incarnation}`,
      log,
      windowMs: timing.claim_window_ms,
      clock,
      metrics: this.metrics,
      ownerIsAlive: owner => this.ownerIsAlive(owner),
    });
    this.losses = LossTask.create({
      log,
      broadcastLoss: loss => this.mesh.broadcast({type: 'loss', loss}),
      onLoss: loss => {
        for (const [, cell] of this.cells) cell.onLoss(loss);
      },
    });
    this.cells = CellRegistry.create({
      instance,
      incarnation: this.incarnation,
      policy,
      leaseMs: timing.grant_lease_ms,
      mesh,
      clock,
      busyMeter: this.busyMeter,
      config: () => this.config.config,
    });
    const {membership, config, cells, losses} = this;
    this.readiness = Readiness.create({config, membership, losses});
    this.fleet = FleetPublisher.create({
      membership,
      cells,
      clock,
      revision: () => config.state.revision,
      canDispatch: () => this.readiness.canDispatch,
      sessionOf: peer => this.mesh.sessionOf(peer),
    });
    this.peerEvents = PeerEventHandler.create({
      membership,
      config,
      cells,
      losses,
      mesh,
      onFleetChange: () => this.refreshCells(),
    });
  }

  /**
   * Starts a daemon; it becomes ready once `unreadiness` is empty. A port that is
   * in use is waited for. Rejects with a `PortError` if a port cannot be opened,
   * or if the signal is aborted first; no request has been accepted then.
   *
   * @param stopSignal - ends a start that waits for a port
   */
  static async create(
    settings: Settings,
    stopSignal?: AbortSignal,
    log = createDaemonLog(settings)
  ): Promise<Daemon> {
    const daemon = new Daemon(settings, log, stopSignal);
    try {
      await daemon.start();
    } catch (err) {
      await daemon.closeParts();
      throw err;
    }
    return daemon;
  }

  get draining(): boolean {
    return this.readiness.draining;
  }

  /** Returns why this instance should get no new callers; empty if it may. */
  unreadiness(): string[] {
    const reasons = this.readiness.unreadiness();
    if (this.entry === undefined) reasons.push('callers not accepted yet');
    return reasons;
  }

  /** Drains open requests, then stops; resolves when the daemon has stopped. */
  shutDown(): Promise<void> {
    this.stopped ??= this.drainAndStop();
    return this.stopped;
  }

  /** Registers a callback that runs once the daemon has stopped. */
  onStopped(callback: () => void): void {
    this.stoppedCallbacks.push(callback);
  }

  private async start(): Promise<void> {
    const {settings, metrics, log} = this;
    const {instance, listen} = settings;
    const {startSignal: stopSignal} = this;
    const otlpUrl = settings.tracing.otlp_url;
    this.tracing = await Tracing.create({otlpUrl, instance});
    this.mesh = await PeerMesh.create({
      identity: {instance, incarnation: this.incarnation},
      secret: settings.link_secret,
      host: listen.peer.host,
      port: listen.peer.port,
      stopSignal,
      log,
      metrics,
      busyMeter: this.busyMeter,
      events: {
        onLinkUp: peer => this.peerEvents.onLinkUp(peer),
        onLinkDown: peer => this.peerEvents.onLinkDown(peer),
        onMessages: (peer, session, messages) => {
          for (const message of messages) {
            this.peerEvents.onMessage(peer, session, message);
          }
        },
      },
    });
    this.meshReady = true;
    this.membership.start();
    this.config.start();
    this.claims.start();
    this.losses.start();
    this.admin = await AdminServer.create({
      ...listen.admin,
      stopSignal,
      log,
      metrics,
      unreadiness: () => this.unreadiness(),
      status: () => daemonStatus(this),
      collect: () => collectGauges(this),
      drain: () => void this.shutDown(),
    });
    this.timers.push(setInterval(() => this.tick(), CELL_TICK_INTERVAL_MS));
    // The last port: until it is open, no request can be cut by a stop.
    this.entry = await this.startEntry();
    log.info('started', {incarnation: this.incarnation});
  }

  private startEntry(): Promise<EntryServer> {
    const {settings, metrics, clock, claims, losses} = this;
    const estimator = OutputEstimator.create();
    return EntryServer.create({
      settings,
      incarnation: this.incarnation,
      log: this.log,
      stopSignal: this.startSignal,
      metrics,
      tracing: this.tracing,
      ready: () => this.readiness.canServe,
      admission: {
        config: () => this.config.config,
        customerOf: keyHash => this.config.customerOf(keyHash),
        estimator,
        maxBodyBytes: settings.limits.max_body_bytes,
      },
      runner: {
        settings,
        clock,
        metrics,
        targets: this.membership.targets,
        claims,
        losses,
        budget: RetryBudget.create(),
        estimator,
        cellOf: service => this.cells.get(service),
      },
    });
  }

  private ownState(): PeerState {
    return {
      ready: this.readiness.canServe,
      draining: this.readiness.draining,
      revision: this.config.state.revision,
      leavingTargets: this.membership.targets.leavingIds,
    };
  }

  private onConfigChange(): void {
    this.cells.onConfig(this.losses.knownLosses);
    if (this.meshReady) this.peerEvents.resyncUnknownCells();
    this.refreshCells();
    if (this.meshReady) this.membership.sendHeartbeat();
  }

  private refreshCells(): void {
    if (this.meshReady) this.fleet.publish();
  }

  /** Whether the incarnation that owns a claim is still alive. */
  private ownerIsAlive(owner: string): boolean {
    const [instance = '', incarnation = ''] = owner.split('/');
    if (instance === this.settings.instance) {
      return incarnation === this.incarnation;
    }
    const {view} = this.membership;
    if (!view.isAlive(instance, this.clock.monotonicMs())) return false;
    return this.peerEvents.incarnationOf(instance) === incarnation;
  }

  private tick(): void {
    for (const [, cell] of this.cells) cell.tick();
  }

  private async drainAndStop(): Promise<void> {
    this.log.info('draining');
    this.readiness.startDraining();
    this.startEnd.abort();
    this.entry?.startDraining();
    this.membership.sendHeartbeat();
    this.refreshCells();
    await sleep(this.settings.timing.lame_duck_ms);
    await this.entry?.closeWhenIdle();
    await this.claims.flush(CLAIM_FLUSH_TIMEOUT_MS);
    await sleep(HANDOVER_DELAY_MS);
    this.mesh.broadcast({type: 'goodbye'});
    await this.closeParts();
    this.log.info('stopped');
    for (const callback of this.stoppedCallbacks) callback();
  }

  /** Also after a start that failed, when some parts were not created. */
  private async closeParts(): Promise<void> {
    this.stopTasks();
    await (this.mesh as PeerMesh | undefined)?.stop();
    await (this.tracing as Tracing | undefined)?.shutdown();
  }

  private stopTasks(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.meshReady = false;
    this.membership.stop();
    this.config.stop();
    this.claims.stop();
    this.losses.stop();
    this.admin?.stop();
  }
}

/** Creates the logger of an instance. @public */
export function createDaemonLog(settings: Settings): Logger {
  return Logger.create(settings.log_level, {
    instance: settings.instance,
    failureDomain: settings.failure_domain,
  });
}
