/** The latest message of each peer, and what they add up to. */
import {addLoad} from '@applebend/routing';

import type {LoadFigures} from '@applebend/routing';
import type {PeerMessage, UseRow} from './peer_message.js';

/** Work of a peer that has been silent for longer counts no more. */
const FORGET_LOAD_MS = 1500;

interface PeerRecord {
  message: PeerMessage;
  heardAtMs: number;
  /** Last uses by customer. */
  uses: Map<string, UseRow>;
}

/** @public */
export class PeerBoard {
  private readonly peers = new Map<string, PeerRecord>();

  private constructor() {}

  static create(): PeerBoard {
    return new PeerBoard();
  }

  /**
   * Takes a message; false when it is older than one that came before. The
   * uses that are new in it are added by `onUse`.
   */
  onMessage(
    message: PeerMessage,
    nowMs: number,
    onUse: (row: UseRow) => void
  ): boolean {
    const known = this.peers.get(message.instance);
    const isSameLife = known?.message.incarnation === message.incarnation;
    if (isSameLife && message.sequence <= known.message.sequence) return false;
    const uses = isSameLife ? known.uses : new Map<string, UseRow>();
    const isFirst = known === undefined;
    for (const row of message.uses) {
      const before = uses.get(row.customer);
      uses.set(row.customer, row);
      if (isFirst) continue;
      onUse({
        customer: row.customer,
        asked: row.asked - (before?.asked ?? 0),
        given: row.given - (before?.given ?? 0),
      });
    }
    this.peers.set(message.instance, {message, heardAtMs: nowMs, uses});
    return true;
  }

  /** Peers that were heard of late and take requests. */
  liveCount(nowMs: number): number {
    let count = 0;
    for (const {message, heardAtMs} of this.peers.values()) {
      if (nowMs - heardAtMs > FORGET_LOAD_MS || message.leaving) continue;
      count += 1;
    }
    return count;
  }

  /** The work of all live peers by target. */
  loads(nowMs: number): Map<string, LoadFigures> {
    const sums = new Map<string, LoadFigures>();
    for (const {message, heardAtMs} of this.peers.values()) {
      if (nowMs - heardAtMs > FORGET_LOAD_MS) continue;
      for (const row of message.loads) {
        const sum = sums.get(row.target);
        sums.set(row.target, sum === undefined ? row : addLoad(sum, row));
      }
    }
    return sums;
  }
}
