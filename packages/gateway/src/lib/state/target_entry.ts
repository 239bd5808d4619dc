/** All that this instance holds about one target. */
import {
  addLoad,
  NO_LOAD,
  OwnLoad,
  PrefixCache,
  TargetHealth,
} from '@applebend/routing';

import type {FirstEventModel, LoadFigures, Target} from '@applebend/routing';

/** Memory that cached prompt parts can have beside what runs. */
const CACHE_PART = 0.85;

/** @public */
export class TargetEntry {
  readonly own = OwnLoad.create();
  readonly health = TargetHealth.create();
  readonly cache = PrefixCache.create(0);
  private memory = 0;
  private peersLoad: LoadFigures = NO_LOAD;

  private constructor(
    public target: Target,
    readonly model: FirstEventModel
  ) {}

  static create(target: Target, model: FirstEventModel): TargetEntry {
    return new TargetEntry(target, model);
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

  /** Own work and that of all peers. */
  get load(): LoadFigures {
    return addLoad(this.own.figures, this.peersLoad);
  }

  setPeersLoad(load: LoadFigures): void {
    this.peersLoad = load;
  }
}
