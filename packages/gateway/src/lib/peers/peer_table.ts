import {TransitDelay} from '@applebend/routing';
import {MESSAGE_ORDER} from './message_order.js';
import {SenderSequence} from './sender_sequence.js';
import {UsageReceiver} from './usage_counters.js';

import type {LoadTotals} from '../state/load_totals.js';
import type {MessageOrder} from './message_order.js';
import type {PeerDatagram, UsageRow} from './peer_message.js';

/** The load of a peer that has been silent for longer is no longer counted. */
const EVICTION_TIMEOUT_MS = 1500;
/** A peer that has been silent for longer is considered down. */
const LIVENESS_TIMEOUT_MS = 800;
/**
 * If the first message received from a peer has a higher sequence number,
 * earlier messages of it were missed, and its totals include usage from before.
 */
const MAX_FIRST_SEQUENCE = 4;

interface PeerRecord {
  readonly message: PeerDatagram;
  readonly receivedAtMs: number;
  readonly usage: UsageReceiver;
  readonly sequence: SenderSequence;
  readonly transit: TransitDelay;
  /** How much later than usual the message was read. */
  readonly lateMs: number;
}

/** The latest message of each peer in this instance's group. @public */
export class PeerTable {
  private readonly peers = new Map<string, PeerRecord>();

  private constructor(private readonly loads: LoadTotals) {}

  /** @param loads - totals to which the loads of the peers are added */
  static create(loads: LoadTotals): PeerTable {
    return new PeerTable(loads);
  }

  /**
   * Stores a message and calls `onUsage` with the usage that it adds. Returns
   * `stale` if a message received earlier is at least as new, `started` for the
   * first message of an incarnation, otherwise `newer`.
   */
  onMessage(
    message: PeerDatagram,
    nowMs: number,
    onUsage: (row: UsageRow) => void
  ): MessageOrder {
    const known = this.peers.get(message.instance);
    const sequence = known?.sequence ?? SenderSequence.create();
    if (!sequence.accept(message.incarnation, message.sequence)) {
      return MESSAGE_ORDER.stale;
    }
    const isSameIncarnation =
      known?.message.incarnation === message.incarnation;
    const usage = isSameIncarnation
      ? known.usage
      : UsageReceiver.create(message.sequence <= MAX_FIRST_SEQUENCE);
    const transit = isSameIncarnation ? known.transit : TransitDelay.create();
    const {sentAtMs = nowMs} = message;
    for (const row of usage.increments(message.usage)) onUsage(row);
    this.loads.replace(known?.message.loads ?? [], message.loads);
    this.peers.set(message.instance, {
      message,
      receivedAtMs: nowMs,
      usage,
      sequence,
      transit,
      lateMs: transit.onMessage(sentAtMs, nowMs),
    });
    return isSameIncarnation ? MESSAGE_ORDER.newer : MESSAGE_ORDER.started;
  }

  /** How much later than usual the last message of a peer was read. */
  lateMs(instance: string): number {
    return this.peers.get(instance)?.lateMs ?? 0;
  }

  /** Returns whether a peer sent a message recently and is not shutting down. */
  isAlive(instance: string, nowMs: number): boolean {
    const record = this.peers.get(instance);
    if (record === undefined || record.message.leaving) return false;
    return nowMs - record.receivedAtMs <= LIVENESS_TIMEOUT_MS;
  }

  /** Evicts silent peers; returns how many remaining ones accept requests. */
  evictSilent(nowMs: number): number {
    let accepting = 0;
    for (const [instance, {message, receivedAtMs}] of this.peers) {
      if (nowMs - receivedAtMs > EVICTION_TIMEOUT_MS) {
        this.loads.replace(message.loads, []);
        this.peers.delete(instance);
        continue;
      }
      if (!message.leaving) accepting += 1;
    }
    return accepting;
  }
}
