import {
  BodyMemory,
  CustomerShares,
  ENGINE_POOL,
  FleetRetryBudget,
  OverloadGuard,
  ResponseMemory,
  ReturnTimes,
  RotationNotice,
  StreamVersions,
  VersionJournal,
} from '@applebend/routing';
import {errorMessage, EventThrottle, systemClock} from '@applebend/utils';
import {JournalReadiness} from '../archive/journal_readiness.js';
import {CrashGuard} from '../crash/crash_guard.js';
import {CONNECT_TIMEOUT_MS} from '../upstream/target_call.js';
import {confirmTargetList} from './list_confirmation.js';
import {PeerLoadTotals} from './load_totals.js';
import {TargetDirectory} from './target_directory.js';
import {targetOfPool} from './target_pool.js';

import type {
  AttemptKey,
  FleetConfig,
  ShareLevels,
  Target,
  TargetList,
} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {StateSource, TargetInspector} from '../ports.js';
import type {GatewaySettings} from '../settings.js';
import type {UsageRow} from '../peers/peer_message.js';
import type {SendBasis} from './recent_sends.js';
import type {TargetSignalListener} from './target_directory.js';
import type {TargetRecord} from './target_record.js';

/** Minimum time between two log lines of one kind. */
const MIN_LOG_INTERVAL_MS = 1000;

/**
 * The state that all requests of one instance share: the configuration, the
 * targets, and what is known of the load and usage of the whole fleet.
 *
 * @public
 */
export class FleetState {
  readonly peerLoads = PeerLoadTotals.create();
  readonly targets: TargetDirectory;
  readonly overloadGuard = OverloadGuard.create();
  readonly bodyMemory: BodyMemory;
  readonly responseMemory: ResponseMemory;
  readonly rotationNotice = RotationNotice.create();
  readonly crashGuard: CrashGuard;
  /** The software versions at which streams of all instances were begun. */
  readonly streamVersions = StreamVersions.create();
  /** What this instance has to save of them and of the services' versions. */
  readonly versionJournal: VersionJournal;
  /** Whether what was saved before this start has been read. */
  readonly journalReadiness = JournalReadiness.create();
  private readonly shares = new Map<string, CustomerShares>();
  private readonly budgets = new Map<string, FleetRetryBudget>();
  private readonly returnTimes = new Map<string, ReturnTimes>();
  private current: FleetConfig | undefined;
  /** Instances that accept requests, including this one. */
  instanceCount = 1;
  /** The number of them in this instance's group. */
  groupInstanceCount = 1;
  isStopping = false;
  private wasConfirmed = false;
  private readonly oldTargets = EventThrottle.create(MIN_LOG_INTERVAL_MS);
  /** Called with what a target says of itself, in any of its responses. */
  onTargetSignals: TargetSignalListener = () => undefined;
  /** Number of open connections of callers. */
  callerConnections = 0;

  private constructor(
    readonly settings: GatewaySettings,
    private readonly source: StateSource,
    inspector: TargetInspector,
    private readonly log: Logger
  ) {
    this.bodyMemory = BodyMemory.create(settings.maxHeldBodyBytes);
    this.responseMemory = ResponseMemory.create(settings.maxHeldResponseBytes);
    this.crashGuard = CrashGuard.create({
      log,
      clock: systemClock,
      isLeaving: incarnation => this.targets.isLeaving(incarnation),
      onTargetLost: incarnation =>
        this.targets.onLost(incarnation, systemClock.monotonicMs()),
    });
    this.targets = TargetDirectory.create(
      this.peerLoads,
      inspector,
      log,
      settings,
      (record, signals) => this.onTargetSignals(record, signals)
    );
    this.versionJournal = VersionJournal.create({
      instance: settings.instance,
      random: Math.random,
      services: this.targets.versions,
      streams: this.streamVersions,
    });
  }

  static create(
    settings: GatewaySettings,
    source: StateSource,
    inspector: TargetInspector,
    log: Logger
  ): FleetState {
    return new FleetState(settings, source, inspector, log);
  }

  get config(): FleetConfig | undefined {
    return this.current;
  }

  /** Whether requests can be decided here, and it is not being stopped. */
  get isReady(): boolean {
    return this.isLoaded && this.hasBeenConfirmed && !this.isStopping;
  }

  /**
   * Whether responses ask callers to close their connections: during a shutdown,
   * and while so many are open that new ones might soon be rejected.
   */
  get closesConnections(): boolean {
    const {maxCallerConnections} = this.settings;
    return this.isStopping || this.callerConnections > maxCallerConnections;
  }

  /** Whether the configuration in force was ever confirmed as the newest. */
  private get hasBeenConfirmed(): boolean {
    this.wasConfirmed ||= this.source.configAgeMs() < Infinity;
    return this.wasConfirmed;
  }

  /** Whether the configuration, evacuations and targets have been read. */
  get isLoaded(): boolean {
    const {isLoaded, evacuations} = this.targets;
    return this.current !== undefined && isLoaded && evacuations.isKnown;
  }

  /**
   * Whether the configuration was confirmed recently enough to accept an API
   * key, which a newer one may have revoked.
   */
  get canAcceptKeys(): boolean {
    return this.source.configAgeMs() <= this.settings.maxConfigAgeForKeyedMs;
  }

  /**
   * Whether the configuration was confirmed recently enough for a final denial.
   * A newer one may have the route or the API key that this one lacks.
   */
  get canDeny(): boolean {
    return this.source.configAgeMs() <= this.settings.maxConfigAgeForDenialMs;
  }

  /** Whether requests may be sent by the list of targets that is held. */
  get areTargetsCurrent(): boolean {
    return this.source.areTargetsCurrent();
  }

  /** What is known now of the list that a target is chosen from. */
  sendBasis({registeredAt}: Target): SendBasis {
    const {source} = this;
    const listAgeMs = source.targetsAgeMs();
    return {listAgeMs, storeLostMs: source.storeLostMs(), registeredAt};
  }

  /**
   * Whether a target may still get a request that was to be sent to it. The list
   * may be older than at the choice by the time that a connection takes.
   */
  mayStillSend(record: TargetRecord): boolean {
    const isListCurrent = this.source.areTargetsCurrent(CONNECT_TIMEOUT_MS);
    return isListCurrent && this.targets.mayGetRequests(record);
  }

  /** Resolves when a read of the targets has ended, whether or not it succeeded. */
  async refreshTargets(): Promise<void> {
    this.logOldTargets();
    try {
      await this.source.refreshTargets();
    } catch (err) {
      this.log.error('target refresh fault', {cause: errorMessage(err)});
    }
  }

  private logOldTargets(): void {
    if (this.oldTargets.onEvent(systemClock.monotonicMs()) === 0) return;
    const ageMs = this.source.targetsAgeMs();
    const {lagMs} = this.overloadGuard;
    this.log.warn('target list too old', {ageMs, loopLagMs: lagMs});
  }

  /** Resolves to whether the list of targets was read since the call. */
  async confirmTargets(): Promise<boolean> {
    try {
      return await confirmTargetList(this.source, systemClock);
    } catch (err) {
      this.log.error('confirmation fault', {cause: errorMessage(err)});
      return false;
    }
  }

  /** The share levels of customers of the engines at a monotonic time. */
  shareLevels(nowMs: number): ShareLevels {
    const tokensPerS = this.current?.limits.tokensPerS ?? Infinity;
    return this.sharesOf(ENGINE_POOL).levels(tokensPerS, nowMs);
  }

  /** Records at which software version a stream was begun, here or at a peer. */
  addStream(attempt: AttemptKey, version: string, nowMs: number): void {
    this.streamVersions.add(attempt, version, nowMs);
    this.versionJournal.onStream(attempt, version, nowMs);
  }

  /** The usage of all customers in a pool; created on first use. */
  sharesOf(pool: string): CustomerShares {
    let shares = this.shares.get(pool);
    if (shares === undefined) {
      shares = CustomerShares.create(this.settings.shareWindowMs);
      this.shares.set(pool, shares);
    }
    return shares;
  }

  /** Adds usage of a peer to its pool. */
  addPeerUsage(row: UsageRow, nowMs: number): void {
    const target = targetOfPool(row.pool);
    if (target === undefined) {
      if (!this.hasPool(row.pool)) return;
      this.sharesOf(row.pool).add(row.customer, row, nowMs);
      return;
    }
    this.targets.get(target)?.rateLimit.onPeersSent(row.admitted, nowMs);
  }

  /** The number of pools whose usage is kept. */
  get poolCount(): number {
    return this.shares.size;
  }

  /** Pools of peers count only if requests here can use them, too. */
  private hasPool(pool: string): boolean {
    if (pool === ENGINE_POOL || this.shares.has(pool)) return true;
    return this.config?.services.has(pool) === true;
  }

  /** When refused callers of a service return; created on first use. */
  returnTimesOf(service: string): ReturnTimes {
    let times = this.returnTimes.get(service);
    if (times === undefined) {
      times = ReturnTimes.create();
      this.returnTimes.set(service, times);
    }
    return times;
  }

  /** The retry budget of a service; created on first use. */
  retryBudgetOf(service: string): FleetRetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = FleetRetryBudget.create(this.settings.retryBudget);
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Applies a configuration unless it is older than the one in force. */
  onConfig(config: FleetConfig, nowMs: number): void {
    const currentVersion = this.current?.version ?? -Infinity;
    if (config.version <= currentVersion) return;
    this.current = config;
    this.targets.onConfig(config, nowMs);
    this.streamVersions.setLongestStreamMs(config.routes.longestTimeoutMs);
    const {version, routes} = config;
    this.log.info('configuration in force', {version, routes: routes.size});
  }

  onTargets(list: TargetList, nowMs: number): void {
    this.targets.onTargets(list, nowMs);
    this.crashGuard.onTargets(
      Array.from(this.targets.all(), ({target}) => target)
    );
  }
}
