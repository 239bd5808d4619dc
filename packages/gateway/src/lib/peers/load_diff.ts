import type {LoadRow} from '../state/load_totals.js';

/** Finds the load rows that changed since the last message. @public */
export class LoadDiff {
  private lastSent = new Map<string, LoadRow>();

  private constructor() {}

  static create(): LoadDiff {
    return new LoadDiff();
  }

  /**
   * Returns the rows that differ from those of the last call; a target that no
   * longer has a row is returned with zero load.
   */
  changedRows(rows: readonly LoadRow[]): LoadRow[] {
    const before = this.lastSent;
    this.lastSent = new Map(rows.map(row => [row.target, row]));
    const changed = rows.filter(row => !isSame(row, before.get(row.target)));
    for (const target of before.keys()) {
      if (this.lastSent.has(target)) continue;
      changed.push({target, running: 0, prefillTokens: 0, kvTokens: 0});
    }
    return changed;
  }
}

function isSame(a: LoadRow, b: LoadRow | undefined): boolean {
  return (
    b !== undefined &&
    a.running === b.running &&
    a.prefillTokens === b.prefillTokens &&
    a.kvTokens === b.kvTokens
  );
}
