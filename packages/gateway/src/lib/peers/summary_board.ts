/** The latest sums of other groups, as told by their relays. */
import {UseReceiver} from './use_ledger.js';

import type {LoadRow, LoadTotals} from '../state/load_totals.js';
import type {UseRow} from './peer_message.js';
import type {SummaryMessage} from './summary_message.js';

/** Sums that were not renewed for longer count no more. */
const FORGET_MS = 1500;

interface SummaryRecord {
  readonly message: SummaryMessage;
  readonly heardAtMs: number;
  readonly rows: Map<string, LoadRow>;
  readonly uses: UseReceiver;
}

/** @public */
export class SummaryBoard {
  private readonly records = new Map<string, SummaryRecord>();

  private constructor(private readonly loads: LoadTotals) {}

  static create(loads: LoadTotals): SummaryBoard {
    return new SummaryBoard(loads);
  }

  /** Takes sums; false when they are older than some that came before. */
  onSummary(
    message: SummaryMessage,
    nowMs: number,
    onUse: (row: UseRow) => void
  ): boolean {
    const key = keyOf(message);
    const known = this.records.get(key);
    const isSameSender =
      known?.message.instance === message.instance &&
      known.message.incarnation === message.incarnation;
    if (isSameSender && message.sequence <= known.message.sequence) {
      return false;
    }
    const uses = isSameSender ? known.uses : UseReceiver.create(false);
    for (const row of uses.take(message.uses)) onUse(row);
    const rows = known?.rows ?? new Map<string, LoadRow>();
    this.updateRows(rows, message);
    this.records.set(key, {message, heardAtMs: nowMs, rows, uses});
    return true;
  }

  /** Forgets sums that are no longer told; returns whom the others cover. */
  sweep(nowMs: number): number {
    let serving = 0;
    for (const [key, {message, heardAtMs, rows}] of this.records) {
      if (nowMs - heardAtMs > FORGET_MS) {
        this.loads.replace([...rows.values()], []);
        this.records.delete(key);
        continue;
      }
      serving += message.serving;
    }
    return serving;
  }

  /** Forgets all; for a change between relay and member. */
  clear(): void {
    for (const {rows} of this.records.values()) {
      this.loads.replace([...rows.values()], []);
    }
    this.records.clear();
  }

  private updateRows(
    rows: Map<string, LoadRow>,
    {loads, isFull}: SummaryMessage
  ): void {
    const before = isFull
      ? [...rows.values()]
      : loads.flatMap(({target}) => rows.get(target) ?? []);
    this.loads.replace(before, loads);
    if (isFull) rows.clear();
    for (const row of loads) rows.set(row.target, row);
  }
}

function keyOf({scope, group}: SummaryMessage): string {
  return `${scope} ${group}`;
}
