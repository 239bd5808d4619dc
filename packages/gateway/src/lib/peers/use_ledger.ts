/** Service of each customer as sums since the start, told when they change. */
import type {UseRow} from './peer_message.js';

/** The sender's side. @public */
export class UseLedger {
  private readonly sums = new Map<string, UseRow>();
  private readonly changed = new Set<string>();

  private constructor() {}

  static create(): UseLedger {
    return new UseLedger();
  }

  add({customer, requested, admitted}: UseRow): void {
    const sum = this.sums.get(customer) ?? {
      customer,
      requested: 0,
      admitted: 0,
    };
    this.sums.set(customer, {
      customer,
      requested: sum.requested + requested,
      admitted: sum.admitted + admitted,
    });
    this.changed.add(customer);
  }

  get hasChanges(): boolean {
    return this.changed.size > 0;
  }

  /** Rows that changed since they were last taken. */
  takeChanged(): UseRow[] {
    const rows: UseRow[] = [];
    for (const customer of this.changed) {
      const row = this.sums.get(customer);
      if (row !== undefined) rows.push(row);
    }
    this.changed.clear();
    return rows;
  }
}

/** The receiver's side, for one life of one sender. @public */
export class UseReceiver {
  private readonly rows = new Map<string, UseRow>();

  /**
   * @param isWhole - whether all of the sender's life is heard; otherwise the
   *     first row of a customer holds the past, and later ones count from it
   */
  private constructor(private readonly isWhole: boolean) {}

  static create(isWhole: boolean): UseReceiver {
    return new UseReceiver(isWhole);
  }

  /** What is new in rows of sums. */
  take(rows: readonly UseRow[]): UseRow[] {
    const news: UseRow[] = [];
    for (const row of rows) {
      const before = this.rows.get(row.customer);
      this.rows.set(row.customer, row);
      if (before === undefined && !this.isWhole) continue;
      news.push({
        customer: row.customer,
        requested: row.requested - (before?.requested ?? 0),
        admitted: row.admitted - (before?.admitted ?? 0),
      });
    }
    return news;
  }
}
