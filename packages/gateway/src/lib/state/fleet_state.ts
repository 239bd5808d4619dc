/** The state that all requests of this instance share. */
import {
  CustomerShares,
  FleetRetryBudget,
  OverloadGuard,
} from '@applebend/routing';
import {PeerLoadTotals} from './load_totals.js';
import {TargetDirectory} from './target_directory.js';

import type {FleetConfig, ShareLevels, Target} from '@applebend/routing';
import type {Logger} from '@applebend/telemetry';
import type {GatewaySettings, StateSource, TargetInspector} from '../ports.js';

/** @public */
export class FleetState {
  readonly peerLoads = PeerLoadTotals.create();
  readonly targets: TargetDirectory;
  readonly overloadGuard = OverloadGuard.create();
  readonly customerShares: CustomerShares;
  private readonly budgets = new Map<string, FleetRetryBudget>();
  private current: FleetConfig | undefined;
  /** Instances that take requests, this one included. */
  instanceCount = 1;
  /** Those of them in this instance's group. */
  groupInstanceCount = 1;
  isStopping = false;
  /** Open connections of callers. */
  callerConnections = 0;

  private constructor(
    readonly settings: GatewaySettings,
    private readonly source: StateSource,
    inspector: TargetInspector,
    private readonly log: Logger
  ) {
    const {isFleetBootstrap, shareWindowMs} = settings;
    this.targets = TargetDirectory.create(
      this.peerLoads,
      inspector,
      log,
      isFleetBootstrap
    );
    this.customerShares = CustomerShares.create(shareWindowMs);
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

  get isReady(): boolean {
    return this.isLoaded && !this.isStopping;
  }

  /**
   * Whether answers ask callers to close their connections: in a shutdown, and
   * where so many are open that new ones would soon find no room.
   */
  get closesConnections(): boolean {
    const {maxCallerConnections} = this.settings;
    return this.isStopping || this.callerConnections > maxCallerConnections;
  }

  /** Whether a configuration and the targets were read. */
  get isLoaded(): boolean {
    return this.current !== undefined && this.targets.isLoaded;
  }

  /** Whether the keys that are held are recent enough to run a request. */
  get canAcceptKeys(): boolean {
    return this.source.configAgeMs() <= this.settings.maxConfigAgeForKeyedMs;
  }

  /** Whether the configuration is recent enough to deny a request for good. */
  get canDeny(): boolean {
    return this.source.configAgeMs() <= this.settings.maxConfigAgeForDenialMs;
  }

  /** The share levels now. */
  shareLevels(nowMs: number): ShareLevels {
    const tokensPerS = this.current?.limits.tokensPerS ?? Infinity;
    return this.customerShares.levels(tokensPerS, nowMs);
  }

  retryBudgetOf(service: string): FleetRetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = FleetRetryBudget.create(this.settings.retryBudget);
      this.budgets.set(service, budget);
    }
    return budget;
  }

  /** Takes a configuration; an older one than the one held is ignored. */
  onConfig(config: FleetConfig): void {
    const held = this.current?.version ?? -Infinity;
    if (config.version <= held) return;
    this.current = config;
    this.targets.onConfig(config);
    const {version, routes} = config;
    this.log.info('configuration in force', {version, routes: routes.size});
  }

  onTargets(targets: readonly Target[]): void {
    this.targets.onTargets(targets);
  }
}
