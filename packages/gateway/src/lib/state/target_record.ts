/** All that this instance holds about one target. */
import {
  addLoad,
  LocalLoad,
  PrefixCache,
  TargetHealth,
} from '@applebend/routing';

import type {FirstEventModel, TargetLoad, Target} from '@applebend/routing';
import type {PeerLoadTotals} from './load_totals.js';

/** Memory that cached prompt parts can have beside what runs. */
const CACHE_FRACTION = 0.85;

/** @public */
export class TargetRecord {
  readonly ownLoad = LocalLoad.create();
  readonly health = TargetHealth.create();
  readonly prefixCache = PrefixCache.create(0);
  /** Whether it was asked which prompt parts it keeps. */
  cachedBlocksRequested = false;
  private memory = 0;

  private constructor(
    public target: Target,
    readonly firstEventModel: FirstEventModel,
    private readonly peerLoads: PeerLoadTotals
  ) {}

  static create(
    target: Target,
    model: FirstEventModel,
    peerLoads: PeerLoadTotals
  ): TargetRecord {
    return new TargetRecord(target, model, peerLoads);
  }

  /** Tokens that its memory holds; 0 where it is no model engine. */
  get memoryTokens(): number {
    return this.memory;
  }

  setMemoryTokens(tokens: number): void {
    if (tokens === this.memory) return;
    this.memory = tokens;
    this.prefixCache.setCapacity(tokens * CACHE_FRACTION);
  }

  /** Own work and that of the own group's peers. */
  get groupLoad(): TargetLoad {
    const {id} = this.target;
    return addLoad(this.ownLoad.load, this.peerLoads.ownGroup.of(id));
  }

  /** Own work and that of all peers. */
  get fleetLoad(): TargetLoad {
    return addLoad(this.ownLoad.load, this.peerLoads.of(this.target.id));
  }
}
