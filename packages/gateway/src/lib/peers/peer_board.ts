/** The latest message of each peer. */
import type {PeerLoads} from '../state/peer_loads.js';
import type {PeerMessage, UseRow} from './peer_message.js';

/** Work of a peer that has been silent for longer counts no more. */
const FORGET_MS = 1500;
/** A peer whose first message has a higher number was missed before. */
const FIRST_SEQUENCES = 4;

interface PeerRecord {
  readonly message: PeerMessage;
  readonly heardAtMs: number;
  /** Last uses by customer. */
  readonly uses: Map<string, UseRow>;
  /** Whether all of its life was heard, so that each use in it is new. */
  readonly isWhole: boolean;
}

/** @public */
export class PeerBoard {
  private readonly peers = new Map<string, PeerRecord>();

  private constructor(private readonly loads: PeerLoads) {}

  static create(loads: PeerLoads): PeerBoard {
    return new PeerBoard(loads);
  }

  /**
   * Takes a message; false when it is older than one that came before. The
   * uses that are new in it are added by `onUse`. A customer's first row of a
   * peer that was heard late holds the past, so later rows count against it.
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
    const isWhole = isSameLife
      ? known.isWhole
      : message.sequence <= FIRST_SEQUENCES;
    for (const row of message.uses) {
      const before = uses.get(row.customer);
      uses.set(row.customer, row);
      if (before === undefined && !isWhole) continue;
      onUse({
        customer: row.customer,
        asked: row.asked - (before?.asked ?? 0),
        given: row.given - (before?.given ?? 0),
      });
    }
    this.loads.replace(known?.message.loads ?? [], message.loads);
    this.peers.set(message.instance, {message, heardAtMs: nowMs, uses, isWhole});
    return true;
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
