import {evictOldest} from '@applebend/utils';
import {targetOfPool} from '../state/target_pool.js';

import type {UsageRow} from './peer_message.js';

/**
 * Names come from peers, so what is kept is bounded; the customers used longest
 * ago go first. 8192 rows take about 2 MB for each sender.
 *
 * @internal
 */
export const MAX_USAGE_ROWS = 8192;

/**
 * The sender's side of the exchange of usage: the total usage of each customer
 * in each pool since the start. Sending totals instead of increments lets the next message
 * about a customer make up for a lost one.
 *
 * @public
 */
export class UsageCounters {
  private readonly totals = new Map<string, UsageRow>();
  private readonly changed = new Set<string>();

  private constructor() {}

  static create(): UsageCounters {
    return new UsageCounters();
  }

  add(row: UsageRow): void {
    const key = keyOf(row);
    const total = this.totals.get(key);
    this.totals.delete(key);
    this.totals.set(key, {
      ...row,
      requested: (total?.requested ?? 0) + row.requested,
      admitted: (total?.admitted ?? 0) + row.admitted,
    });
    this.changed.delete(key);
    this.changed.add(key);
    if (this.totals.size > MAX_USAGE_ROWS) evictOldest(this.totals);
    if (this.changed.size > MAX_USAGE_ROWS) evictOldest(this.changed);
  }

  /** The number of totals that are kept. */
  get size(): number {
    return this.totals.size;
  }

  get hasChanges(): boolean {
    return this.changed.size > 0;
  }

  /** Returns the totals that changed since the last call. */
  takeChanged(): UsageRow[] {
    const rows: UsageRow[] = [];
    for (const key of this.changed) {
      const row = this.totals.get(key);
      if (row !== undefined) rows.push(row);
    }
    this.changed.clear();
    return rows;
  }
}

/**
 * The receiver's side: derives increments from the totals that one incarnation
 * of one sender sends.
 *
 * @public
 */
export class UsageReceiver {
  private readonly totals = new Map<string, UsageRow>();

  private constructor(private isFromStart: boolean) {}

  /**
   * @param isFromStart - whether the sender is followed from its start. If not,
   *     the first total of a customer includes usage from before and serves
   *     only as the base for later ones. That of a limited target counts in
   *     full: what it is too high by is made up for in seconds, but a target
   *     that gets more than it takes may fail.
   */
  static create(isFromStart: boolean): UsageReceiver {
    return new UsageReceiver(isFromStart);
  }

  /** Returns how much the totals of a message have grown since the last one. */
  increments(rows: readonly UsageRow[]): UsageRow[] {
    const increments: UsageRow[] = [];
    for (const row of rows) {
      const key = keyOf(row);
      const before = this.totals.get(key);
      this.keep(key, row);
      const isNew = before === undefined && !this.isFromStart;
      if (isNew && targetOfPool(row.pool) === undefined) continue;
      increments.push(growth(row, before));
    }
    return increments;
  }

  /** The number of totals that are kept. */
  get size(): number {
    return this.totals.size;
  }

  private keep(key: string, row: UsageRow): void {
    this.totals.delete(key);
    this.totals.set(key, row);
    if (this.totals.size <= MAX_USAGE_ROWS) return;
    evictOldest(this.totals);
    // A customer that comes back may have been counted already.
    this.isFromStart = false;
  }
}

/** A total that is lower than before began again after the sender evicted it. */
function growth(row: UsageRow, before: UsageRow | undefined): UsageRow {
  if (before === undefined) return row;
  const requested = row.requested - before.requested;
  const admitted = row.admitted - before.admitted;
  return requested < 0 || admitted < 0 ? row : {...row, requested, admitted};
}

function keyOf({pool, customer}: UsageRow): string {
  return `${pool} ${customer}`;
}
