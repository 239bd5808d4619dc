/** The work of all live peers at each target, kept as running sums. */
import {addLoad, NO_LOAD} from '@applebend/routing';

import type {TargetLoad} from '@applebend/routing';

/** Work of one peer at one target. @public */
export interface LoadRow extends TargetLoad {
  readonly target: string;
}

/** @public */
export class LoadTotals {
  private readonly totals = new Map<string, TargetLoad>();

  private constructor() {}

  static create(): LoadTotals {
    return new LoadTotals();
  }

  of(target: string): TargetLoad {
    return this.totals.get(target) ?? NO_LOAD;
  }

  /** Targets with any work. */
  targets(): Iterable<string> {
    return this.totals.keys();
  }

  /** Takes new rows of a peer in place of its former ones. */
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

/** What others run at each target, near and far. @public */
export class PeerLoadTotals {
  /** Members of the own group. */
  readonly ownGroup = LoadTotals.create();
  /** All other groups. */
  readonly otherGroups = LoadTotals.create();

  private constructor() {}

  static create(): PeerLoadTotals {
    return new PeerLoadTotals();
  }

  of(target: string): TargetLoad {
    return addLoad(this.ownGroup.of(target), this.otherGroups.of(target));
  }
}
