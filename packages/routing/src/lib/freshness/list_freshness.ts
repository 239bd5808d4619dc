/**
 * When a list that all instances share has to be read again. A peer that read
 * the same list lately saves the read; one that read another makes it due.
 */

/** @public */
export interface ListFreshnessOptions {
  /** Ages between which an instance reads the list again. */
  readonly minReadAgeMs: number;
  readonly maxReadAgeMs: number;
  /** From 0 up to 1; spreads the reads of instances. */
  readonly random: () => number;
}

/** Few instances draw a low age, so that few read before they are told. */
const DUE_AGE_EXPONENT = 1 / 3;

/** @public */
export class ListFreshness {
  private key = 0;
  private confirmedAtMs = -Infinity;
  private ownReadAtMs = -Infinity;
  private dueAgeMs: number;

  private constructor(private readonly options: ListFreshnessOptions) {
    this.dueAgeMs = this.drawDueAgeMs();
  }

  static create(options: ListFreshnessOptions): ListFreshness {
    return new ListFreshness(options);
  }

  get contentKey(): number {
    return this.key;
  }

  /** Since the newest read that showed this list was sent. */
  ageMs(nowMs: number): number {
    return nowMs - this.confirmedAtMs;
  }

  /**
   * Since the newest own read was sent. Peers are told of own reads only: an
   * age that is passed on grows younger by the time of each message.
   */
  ownReadAgeMs(nowMs: number): number {
    return nowMs - this.ownReadAtMs;
  }

  /** An own read, sent at the given time, showed a list. */
  onRead(key: number, sentAtMs: number): void {
    this.key = key;
    this.confirmedAtMs = sentAtMs;
    this.ownReadAtMs = sentAtMs;
    this.dueAgeMs = this.drawDueAgeMs();
  }

  onPeerRead(key: number, ageMs: number, nowMs: number): void {
    const shownAtMs = nowMs - ageMs;
    if (shownAtMs <= this.confirmedAtMs) return;
    if (key === this.key) this.confirmedAtMs = shownAtMs;
    else this.dueAgeMs = 0;
  }

  isReadDue(nowMs: number): boolean {
    return this.ageMs(nowMs) >= this.dueAgeMs;
  }

  private drawDueAgeMs(): number {
    const {minReadAgeMs, maxReadAgeMs, random} = this.options;
    const span = maxReadAgeMs - minReadAgeMs;
    return minReadAgeMs + span * random() ** DUE_AGE_EXPONENT;
  }
}
