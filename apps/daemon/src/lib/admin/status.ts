import type {DispatcherStats} from '@applebend/core';
import type {Daemon} from '../daemon.js';

const MICROSECONDS_PER_S = 1e6;

/** State of one cell on this instance. @public */
export interface CellStatus {
  readonly service: string;
  /** Id of the dispatching instance, or undefined if it is not known. */
  readonly dispatcher: string | undefined;
  /** Requests of this instance that wait for a slot. */
  readonly waitingHere: number;
  /** Slots that requests of this instance hold. */
  readonly heldHere: number;
  readonly targets: readonly {id: string; leaving: boolean}[];
  readonly stats: DispatcherStats;
}

/** JSON of the admin path `/status`. @public */
export interface DaemonStatus {
  readonly instance: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly policy: string;
  readonly ready: boolean;
  readonly unreadiness: readonly string[];
  readonly revision: number;
  readonly openRequests: number;
  readonly members: readonly {
    readonly id: string;
    readonly draining: boolean;
    readonly revision: number;
  }[];
  readonly cells: readonly CellStatus[];
  /** Time spent on links, cells and membership since the start. */
  readonly controlSeconds: number;
  /** CPU time of the process since the start. */
  readonly cpuSeconds: number;
  readonly rssBytes: number;
  readonly traffic: {
    readonly sentBytes: number;
    readonly receivedBytes: number;
  };
}

/** Returns the current status of a daemon. @public */
export function daemonStatus(daemon: Daemon): DaemonStatus {
  const {settings, membership} = daemon;
  const unreadiness = daemon.unreadiness();
  const members = membership.view
    .aliveMembers(performance.now())
    .map(({id, draining, revision}) => ({id, draining, revision}));
  return {
    instance: settings.instance,
    incarnation: daemon.incarnation,
    failureDomain: settings.failure_domain,
    policy: settings.policy,
    ready: unreadiness.length === 0,
    unreadiness,
    revision: daemon.config.state.revision,
    openRequests: daemon.entry?.openRequests ?? 0,
    members,
    cells: [...daemon.cells].map(([service, cell]) => ({
      service,
      dispatcher: cell.dispatcherId,
      waitingHere: cell.waitingCount,
      heldHere: cell.heldCount,
      targets: membership.targets.viewsOf(service),
      stats: cell.stats,
    })),
    controlSeconds: daemon.busyMeter.busySeconds,
    cpuSeconds: cpuSeconds(),
    rssBytes: process.memoryUsage.rss(),
    traffic: daemon.mesh.traffic,
  };
}

function cpuSeconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_S;
}

/** Updates the gauges from the current state of a daemon. @public */
export function collectGauges(daemon: Daemon): void {
  const {metrics, mesh} = daemon;
  metrics.linkBytes.set({direction: 'sent'}, mesh.traffic.sentBytes);
  metrics.linkBytes.set({direction: 'received'}, mesh.traffic.receivedBytes);
  for (const [service, cell] of daemon.cells) {
    metrics.staleGrants.set({service}, cell.staleGrants);
    const {fairnessViolations, ...figures} = cell.stats;
    metrics.fairnessViolations.set({service}, fairnessViolations);
    for (const [figure, value] of Object.entries(figures)) {
      metrics.dispatcherStats.set({service, figure}, value);
    }
  }
}
