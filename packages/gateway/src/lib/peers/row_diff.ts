/** Finds what changed in rows of loads since they were last told. */
import type {LoadRow} from '../state/load_totals.js';

/** @public */
export class RowDiff {
  private told = new Map<string, LoadRow>();

  private constructor() {}

  static create(): RowDiff {
    return new RowDiff();
  }

  /** Rows that differ from those told last; a target that has none is zero. */
  changed(rows: readonly LoadRow[]): LoadRow[] {
    const before = this.told;
    this.told = new Map(rows.map(row => [row.target, row]));
    const changed = rows.filter(row => !isSame(row, before.get(row.target)));
    for (const target of before.keys()) {
      if (this.told.has(target)) continue;
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
