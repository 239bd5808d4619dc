import {
  addLoad,
  ColdStart,
  incarnationOf,
  LocalLoad,
  PrefixCache,
  TargetHealth,
  TargetPause,
  TargetRateLimit,
} from '@applebend/routing';
import {RecentSends} from './recent_sends.js';

import type {FirstEventModel, TargetLoad, Target} from '@applebend/routing';
import type {PeerLoadTotals} from './load_totals.js';

/**
 * Fraction of an engine's memory that cached blocks can occupy beside the
 * running requests.
 */
const CACHE_FRACTION = 0.85;

/** The record of one incarnation, see `incarnationOf`. @internal */
export function findIncarnation(
  records: Iterable<TargetRecord>,
  incarnation: string
): TargetRecord | undefined {
  for (const record of records) {
    if (incarnationOf(record.target) === incarnation) return record;
  }
  return undefined;
}

/** The registration of a target and its load, health and cache. @public */
export class TargetRecord {
  readonly ownLoad = LocalLoad.create();
  readonly health = TargetHealth.create();
  /** The pause that it asked of this instance. */
  readonly pause = TargetPause.create();
  /** The rate that it named for all instances. */
  readonly rateLimit = TargetRateLimit.create(Math.random);
  /** Until then, by monotonic milliseconds, it paused some peer. */
  peerPauseEndsAtMs = -Infinity;
  readonly prefixCache = PrefixCache.create(0);
  /** The last requests that this instance sent to it. */
  readonly recentSends = RecentSends.create();
  /** Whether its prefix cache has been queried. */
  cachedBlocksRequested = false;
  private memory = 0;

  private constructor(
    public target: Target,
    readonly firstEventModel: FirstEventModel,
    private readonly peerLoads: PeerLoadTotals,
    /** Whether it is cold, and what this instance may send to it meanwhile. */
    readonly coldStart: ColdStart
  ) {}

  /** @param former - the record of the former incarnation, if there is one */
  static create(
    target: Target,
    model: FirstEventModel,
    peerLoads: PeerLoadTotals,
    former?: TargetRecord
  ): TargetRecord {
    const coldStart = former?.coldStart.createSuccessor() ?? ColdStart.create();
    return new TargetRecord(target, model, peerLoads, coldStart);
  }

  /** Capacity of its KV memory in tokens; 0 if it is not a model engine. */
  get memoryTokens(): number {
    return this.memory;
  }

  setMemoryTokens(tokens: number): void {
    if (tokens === this.memory) return;
    this.memory = tokens;
    this.prefixCache.setCapacity(tokens * CACHE_FRACTION);
  }

  /** Load of this instance and of the peers in its group. */
  get groupLoad(): TargetLoad {
    const {id} = this.target;
    return addLoad(this.ownLoad.load, this.peerLoads.ownGroup.of(id));
  }

  /** Load of all instances. */
  get fleetLoad(): TargetLoad {
    return addLoad(this.ownLoad.load, this.peerLoads.of(this.target.id));
  }
}
