/** The latest message of each peer of the own group. */
import {UseReceiver} from './use_ledger.js';

import type {LoadTotals} from '../state/load_totals.js';
import type {PeerMessage, UseRow} from './peer_message.js';

/** Work of a peer that has been silent for longer counts no more. */
const FORGET_MS = 1500;
/** A peer that has been silent for longer is taken to be down. */
const ALIVE_MS = 800;
/** A peer whose first message has a higher number was missed before. */
const FIRST_SEQUENCES = 4;

interface PeerRecord {
  readonly message: PeerMessage;
  readonly heardAtMs: number;
  readonly uses: UseReceiver;
}

/** @public */
export class PeerBoard {
  private readonly peers = new Map<string, PeerRecord>();

  private constructor(private readonly loads: LoadTotals) {}

  static create(loads: LoadTotals): PeerBoard {
    return new PeerBoard(loads);
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
    const uses = isSameLife
      ? known.uses
      : UseReceiver.create(message.sequence <= FIRST_SEQUENCES);
    for (const row of uses.take(message.uses)) onUse(row);
    this.loads.replace(known?.message.loads ?? [], message.loads);
    this.peers.set(message.instance, {message, heardAtMs: nowMs, uses});
    return true;
  }

  /** Whether a peer was heard of late and is not leaving. */
  isAlive(instance: string, nowMs: number): boolean {
    const record = this.peers.get(instance);
    if (record === undefined || record.message.leaving) return false;
    return nowMs - record.heardAtMs <= ALIVE_MS;
  }

  /** Forgets peers that have been silent; returns how many live and serve. */
  sweep(nowMs: number): number {
    let serving = 0;
    for (const [instance, {message, heardAtMs}] of this.peers) {
      if (nowMs - heardAtMs > FORGET_MS) {
        this.loads.replace(message.loads, []);
        this.peers.delete(instance);
        continue;
      }
      if (!message.leaving) serving += 1;
    }
    return serving;
  }
}
