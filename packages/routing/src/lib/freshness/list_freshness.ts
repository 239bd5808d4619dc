/** The ages of the list at which an instance reads it again. @public */
export interface ListFreshnessOptions {
  /** Lower bound of the random age at which a read is due. */
  readonly minReadAgeMs: number;
  /** Upper bound of that age. */
  readonly maxReadAgeMs: number;
  /** Returns a number from 0 (inclusive) to 1; spreads the reads. */
  readonly random: () => number;
}

/**
 * Skews the random age toward the upper bound: few instances read early, and
 * the others receive reports of these reads before their own are due.
 */
const DUE_AGE_EXPONENT = 1 / 3;

/**
 * Decides when to read a list again that all instances share. A peer's recent
 * read of the same list makes an own read unnecessary; a peer's read of a
 * different list makes one due at once.
 *
 * @public
 */
export class ListFreshness {
  private key = 0;
  /**
   * When the newest read that confirmed the list was sent, here or by a peer.
   */
  private confirmedAtMs = -Infinity;
  /** When the newest read by this instance was sent. */
  private ownReadAtMs = -Infinity;
  /** Age at which the next read is due. */
  private dueAgeMs: number;

  private constructor(private readonly options: ListFreshnessOptions) {
    this.dueAgeMs = this.drawDueAgeMs();
  }

  static create(options: ListFreshnessOptions): ListFreshness {
    return new ListFreshness(options);
  }

  /** Key of the held list's contents; equal lists have equal keys. */
  get contentKey(): number {
    return this.key;
  }

  /**
   * Returns the time since the newest read that confirmed the list was sent.
   */
  ageMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /**
   * Returns the time since this instance's newest read was sent. Peers are sent
   * this age only: if ages were passed on from instance to instance, each
   * message would make the read look newer by its transit time, and peers could
   * confirm a list to each other that none of them reads any more.
   */
  ownReadAgeMs(nowMs: number): number {
    return nowMs - this.ownReadAtMs;
  }

  /** Records a list that this instance read, and when the read was sent. */
  onRead(key: number, sentAtMs: number): void {
    this.key = key;
    this.confirmedAtMs = sentAtMs;
    this.ownReadAtMs = sentAtMs;
    this.dueAgeMs = this.drawDueAgeMs();
  }

  /** Records that a peer read a list with this key `ageMs` ago. */
  onPeerRead(key: number, ageMs: number, nowMs: number): void {
    const readAtMs = nowMs - ageMs;
    if (readAtMs <= this.confirmedAtMs) return;
    if (key === this.key) this.confirmedAtMs = readAtMs;
    else this.dueAgeMs = 0;
  }

  /** Returns whether this instance has to read the list now. */
  isReadDue(nowMs: number): boolean {
    return this.ageMs(nowMs) >= this.dueAgeMs;
  }

  /** Draws a random age at which the next read is due. */
  private drawDueAgeMs(): number {
    const {minReadAgeMs, maxReadAgeMs, random} = this.options;
    const span = maxReadAgeMs - minReadAgeMs;
    return minReadAgeMs + span * random() ** DUE_AGE_EXPONENT;
  }
}
