import type {Clock} from '@applebend/utils';
import type {MembershipTask} from '../membership/membership_task.js';
import type {CellTask} from './cell_task.js';
import type {FleetView} from './fleet_view.js';

/** @public */
export interface FleetPublisherOptions {
  readonly membership: Pick<MembershipTask, 'view' | 'targets' | 'routersKey'>;
  /** The cells of this instance, by service. */
  readonly cells: Iterable<
    [string, Pick<CellTask, 'heartbeatOwnEntry' | 'onFleet'>]
  >;
  readonly clock: Clock;
  /** Returns the revision of the configuration in force. */
  readonly revision: () => number;
  /** Whether this instance may dispatch cells. */
  readonly canDispatch: () => boolean;
  /** Returns undefined if there is no link to the peer. */
  readonly sessionOf: (peer: string) => number | undefined;
}

/**
 * Builds the view of the fleet and passes it to the cells when it changes.
 *
 * @public
 */
export class FleetPublisher {
  private lastKey = '';

  private constructor(private readonly options: FleetPublisherOptions) {}

  static create(options: FleetPublisherOptions): FleetPublisher {
    return new FleetPublisher(options);
  }

  /** Returns the fleet as this instance sees it, with one service's targets. */
  viewFor(service = ''): FleetView {
    const {clock, membership, canDispatch} = this.options;
    const nowMs = clock.monotonicMs();
    const {view, targets} = membership;
    return {
      candidates: view.dispatcherCandidates(nowMs, canDispatch()),
      slotOwners: view.slotOwners(nowMs),
      targets: targets.viewsOf(service),
      isAlive: id => view.isAlive(id, nowMs),
      isGone: id => view.isGone(id, nowMs),
    };
  }

  /** Updates the cells, and their view of the fleet if it has changed. */
  publish(): void {
    const key = this.viewKey();
    const changed = key !== this.lastKey;
    this.lastKey = key;
    for (const [service, cell] of this.options.cells) {
      cell.heartbeatOwnEntry();
      if (changed) cell.onFleet(this.viewFor(service));
    }
  }

  /** Returns a key that changes whenever the view of a cell changes. */
  private viewKey(): string {
    const {candidates, slotOwners} = this.viewFor();
    const {membership, revision, sessionOf} = this.options;
    const sessions = slotOwners.map(id => sessionOf(id) ?? '');
    return [
      revision(),
      candidates.join(),
      slotOwners.join(),
      sessions.join(),
      membership.targets.version,
      membership.routersKey,
    ].join(';');
  }
}
