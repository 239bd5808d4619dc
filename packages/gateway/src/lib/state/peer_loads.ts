/** The work of all live peers at each target, kept as running sums. */
import {addLoad, NO_LOAD} from '@applebend/routing';

import type {LoadFigures} from '@applebend/routing';

/** Work of one peer at one target. @public */
export interface LoadRow extends LoadFigures {
  readonly target: string;
}

/** @public */
export class PeerLoads {
  private readonly sums = new Map<string, LoadFigures>();

  private constructor() {}

  static create(): PeerLoads {
    return new PeerLoads();
  }

  of(target: string): LoadFigures {
    return this.sums.get(target) ?? NO_LOAD;
  }

  /** Targets with any work. */
  targets(): Iterable<string> {
    return this.sums.keys();
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
    if (sum.running === 0) this.sums.delete(row.target);
    else this.sums.set(row.target, sum);
  }
}

/** What others run at each target, near and far. @public */
export class FleetLoads {
  /** Members of the own group. */
  readonly group = PeerLoads.create();
  /** All other groups. */
  readonly remote = PeerLoads.create();

  private constructor() {}

  static create(): FleetLoads {
    return new FleetLoads();
  }

  of(target: string): LoadFigures {
    return addLoad(this.group.of(target), this.remote.of(target));
  }
}
