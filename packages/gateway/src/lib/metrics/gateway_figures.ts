import type {FrontServer} from '../front/front_server.js';
import type {ListenerProbe} from '../front/listener_probe.js';
import type {StateSource} from '../ports.js';
import type {FleetState} from '../state/fleet_state.js';
import type {GaugeValues} from './gateway_metrics.js';

/** How busy an instance is, beside its listener. @internal */
export function loadFigures(
  {overloadGuard, callerConnections}: FleetState,
  front: FrontServer | undefined
) {
  return {
    acceptedConnections: front?.acceptedCount ?? 0,
    callerConnections,
    active: front?.activeCount ?? 0,
    waitingRequests: front?.waitingCount ?? 0,
    loopLagMs: overloadGuard.lagMs,
    loopBusyPart: overloadGuard.busyFraction,
  };
}

/** What the figures of an instance are read from. @internal */
export interface FigureSources {
  readonly state: FleetState;
  readonly source: StateSource;
  readonly front: FrontServer | undefined;
  readonly listenerProbe: ListenerProbe;
  /** Number of targets that take few requests because they are cold. */
  readonly coldTargets: number;
}

/** All figures of an instance, for a scrape. @internal */
export function gaugeValues({
  state,
  source,
  front,
  listenerProbe,
  coldTargets,
}: FigureSources): GaugeValues {
  const {bodyMemory, responseMemory, targets, settings} = state;
  return {
    configAgeMs: source.configAgeMs(),
    targetListAgeMs: source.targetsAgeMs(),
    configVersion: state.config?.version ?? 0,
    storeEra: source.heldState().storeEra,
    instances: state.instanceCount,
    targets: [...targets.all()].length,
    coldTargets,
    evacuatedDomains: targets.evacuations.count,
    listenerDelayMs: listenerProbe.delayMs,
    heldBodyBytes: bodyMemory.heldBytes,
    heldBodyLimitBytes: bodyMemory.limitBytes,
    heldResponseBytes: responseMemory.heldBytes,
    heldResponseLimitBytes: responseMemory.limitBytes,
    residentBytes: process.memoryUsage.rss(),
    residentLimitBytes: settings.memoryLimitBytes,
    ...loadFigures(state, front),
  };
}
