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
const CACHE_PART = 0.85;

/** @public */
export class TargetEntry {
  readonly ownLoad = LocalLoad.create();
  readonly health = TargetHealth.create();
  readonly prefixCache = PrefixCache.create(0);
  /** Whether it was asked which prompt parts it keeps. */
  askedForParts = false;
  private memory = 0;

  private constructor(
    public target: Target,
    readonly model: FirstEventModel,
    private readonly peerLoads: PeerLoadTotals
  ) {}

  static create(
    target: Target,
    model: FirstEventModel,
    peerLoads: PeerLoadTotals
  ): TargetEntry {
    return new TargetEntry(target, model, peerLoads);
  }

  /** Tokens that its memory holds; 0 where it is no model engine. */
  get memoryTokens(): number {
    return this.memory;
  }

  setMemory(tokens: number): void {
    if (tokens === this.memory) return;
    this.memory = tokens;
    this.prefixCache.setCapacity(tokens * CACHE_PART);
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
