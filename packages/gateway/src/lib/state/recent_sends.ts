/** What was known when a request was sent to a target. @public */
export interface SendBasis {
  /** Time since the start of the read, here or by a peer, of the list. */
  readonly listAgeMs: number;
  /** Time for which the store had been lost; 0 if it responded. */
  readonly storeLostMs: number;
  /** Position of the target's registration, see `Target.registeredAt`. */
  readonly registeredAt: number;
}

/** A request that was sent to a target, as it is logged. @public */
export interface LoggedSend extends SendBasis {
  readonly attemptId: string;
  /** Time since it was sent. */
  readonly agoMs: number;
}

interface Send {
  readonly attemptId: string;
  readonly sentAtMs: number;
  readonly basis: SendBasis;
}

const MAX_SENDS = 8;

/**
 * The last requests that this instance sent to one target. They are logged when
 * the target departs, since one that was sent late is among them.
 *
 * @public
 */
export class RecentSends {
  private readonly sends: Send[] = [];

  private constructor() {}

  static create(): RecentSends {
    return new RecentSends();
  }

  add(attemptId: string, basis: SendBasis, sentAtMs: number): void {
    this.sends.push({attemptId, sentAtMs, basis});
    if (this.sends.length > MAX_SENDS) this.sends.shift();
  }

  /** Returns the sends, the oldest first. */
  list(nowMs: number): LoggedSend[] {
    return this.sends.map(({attemptId, sentAtMs, basis}) => ({
      attemptId,
      agoMs: nowMs - sentAtMs,
      ...basis,
    }));
  }
}
