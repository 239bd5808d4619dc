import {MESSAGE_ORDER} from './message_order.js';
import {SenderSequence} from './sender_sequence.js';
import {UsageReceiver} from './usage_counters.js';

import type {LoadRow, LoadTotals} from '../state/load_totals.js';
import type {UsageRow} from './peer_message.js';
import type {AggregateMessage} from './aggregate_message.js';
import type {MessageOrder} from './message_order.js';

/** Aggregates that were not renewed for longer are no longer counted. */
const EVICTION_TIMEOUT_MS = 1500;

interface AggregateRecord {
  readonly message: AggregateMessage;
  readonly receivedAtMs: number;
  /** The rows that are counted now, by target. */
  readonly rows: Map<string, LoadRow>;
  readonly usage: UsageReceiver;
  /** The messages of each instance that was the group's relay. */
  readonly sequences: Map<string, SenderSequence>;
}

/** The latest aggregates of other groups, received from relays. @public */
export class AggregateTable {
  private readonly records = new Map<string, AggregateRecord>();

  private constructor(private readonly loads: LoadTotals) {}

  /** @param loads - totals to which the loads of other groups are added */
  static create(loads: LoadTotals): AggregateTable {
    return new AggregateTable(loads);
  }

  /**
   * Stores an aggregate and calls `onUsage` with the usage that it adds.
   * Returns `stale` if one received earlier is at least as new, `started` for
   * the first one of a relay's incarnation, otherwise `newer`.
   */
  onAggregate(
    message: AggregateMessage,
    nowMs: number,
    onUsage: (row: UsageRow) => void
  ): MessageOrder {
    const key = keyOf(message);
    const known = this.records.get(key);
    const {instance, incarnation, sequence} = message;
    const sequences = known?.sequences ?? new Map<string, SenderSequence>();
    const sender = sequences.get(instance) ?? SenderSequence.create();
    sequences.set(instance, sender);
    if (!sender.accept(incarnation, sequence)) return MESSAGE_ORDER.stale;
    const isSameIncarnation =
      known?.message.instance === instance &&
      known.message.incarnation === incarnation;
    // The totals of a relay run from its own start, so the first ones of a new
    // relay include usage that the former one sent.
    const usage = isSameIncarnation ? known.usage : UsageReceiver.create(false);
    for (const row of usage.increments(message.usage)) onUsage(row);
    const rows = known?.rows ?? new Map<string, LoadRow>();
    this.updateRows(rows, message);
    const receivedAtMs = nowMs;
    this.records.set(key, {message, receivedAtMs, rows, usage, sequences});
    return isSameIncarnation ? MESSAGE_ORDER.newer : MESSAGE_ORDER.started;
  }

  /**
   * Evicts aggregates that were not renewed; returns how many instances the
   * remaining ones cover.
   */
  evictStale(nowMs: number): number {
    let instanceCount = 0;
    for (const [key, {message, receivedAtMs, rows}] of this.records) {
      if (nowMs - receivedAtMs > EVICTION_TIMEOUT_MS) {
        this.loads.replace([...rows.values()], []);
        this.records.delete(key);
        continue;
      }
      instanceCount += message.instanceCount;
    }
    return instanceCount;
  }

  /**
   * Evicts everything. Called when this instance becomes or ceases to be the
   * relay: the aggregates of the other scope cover the same instances again.
   */
  clear(): void {
    for (const {rows} of this.records.values()) {
      this.loads.replace([...rows.values()], []);
    }
    this.records.clear();
  }

  private updateRows(
    rows: Map<string, LoadRow>,
    {loads, isFull}: AggregateMessage
  ): void {
    const before = isFull
      ? [...rows.values()]
      : loads.flatMap(({target}) => rows.get(target) ?? []);
    this.loads.replace(before, loads);
    if (isFull) rows.clear();
    for (const row of loads) rows.set(row.target, row);
  }
}

function keyOf({scope, group}: AggregateMessage): string {
  return `${scope} ${group}`;
}
