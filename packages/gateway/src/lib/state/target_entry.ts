/** All that this instance holds about one target. */
import {addLoad, OwnLoad, PrefixCache, TargetHealth} from '@applebend/routing';

import type {FirstEventModel, LoadFigures, Target} from '@applebend/routing';
import type {FleetLoads} from './peer_loads.js';

/** Memory that cached prompt parts can have beside what runs. */
const CACHE_PART = 0.85;

/** @public */
export class TargetEntry {
  readonly own = OwnLoad.create();
  readonly health = TargetHealth.create();
  readonly cache = PrefixCache.create(0);
  /** Whether it was asked which prompt parts it keeps. */
  askedForParts = false;
  private memory = 0;

  private constructor(
    public target: Target,
    readonly model: FirstEventModel,
    private readonly peerLoads: FleetLoads
  ) {}

  static create(
    target: Target,
    model: FirstEventModel,
    peerLoads: FleetLoads
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
    this.cache.setCapacity(tokens * CACHE_PART);
  }

  /** Own work and that of the own group's peers. */
  get groupLoad(): LoadFigures {
    const {id} = this.target;
    return addLoad(this.own.figures, this.peerLoads.group.of(id));
  }

  /** Own work and that of all peers. */
  get load(): LoadFigures {
    return addLoad(this.own.figures, this.peerLoads.of(this.target.id));
  }
}
