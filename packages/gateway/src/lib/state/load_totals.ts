import {addLoad, NO_LOAD} from '@applebend/routing';

import type {TargetLoad} from '@applebend/routing';

/** The load that one peer, or one group of peers, has at a target. @public */
export interface LoadRow extends TargetLoad {
  readonly target: string;
}

/** Running totals, by target, of the load of a set of peers. @public */
export class LoadTotals {
  private readonly totals = new Map<string, TargetLoad>();

  private constructor() {}

  static create(): LoadTotals {
    return new LoadTotals();
  }

  of(target: string): TargetLoad {
    return this.totals.get(target) ?? NO_LOAD;
  }

  /** Ids of targets with any load. */
  targets(): Iterable<string> {
    return this.totals.keys();
  }

  /** Replaces the previous rows of a peer by its new ones. */
  replace(before: readonly LoadRow[], after: readonly LoadRow[]): void {
    for (const row of before) this.add(row, -1);
    for (const row of after) this.add(row, 1);
  }

  private add(row: LoadRow, sign: 1 | -1): void {
    const sum = addLoad(this.of(row.target), {
      running: sign * row.running,
      prefillTokens: sign * row.prefillTokens,
      kvTokens: sign * row.kvTokens,
    });
    if (sum.running === 0) this.totals.delete(row.target);
    else this.totals.set(row.target, sum);
  }
}

/** The load of all other instances at each target. @public */
export class PeerLoadTotals {
  /** Load of the peers in this instance's group. */
  readonly ownGroup = LoadTotals.create();
  /** Load of all other groups. */
  readonly otherGroups = LoadTotals.create();

  private constructor() {}

  static create(): PeerLoadTotals {
    return new PeerLoadTotals();
  }

  of(target: string): TargetLoad {
    return addLoad(this.ownGroup.of(target), this.otherGroups.of(target));
  }
}
