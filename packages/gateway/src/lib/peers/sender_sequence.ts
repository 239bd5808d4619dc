import {evictOldest} from '@applebend/utils';

/** Late messages are from the last few incarnations. @internal */
export const MAX_FORMER = 64;

/**
 * Tells the late messages of one sender from new ones. A restarted sender has
 * another incarnation, and its sequence begins again.
 *
 * @public
 */
export class SenderSequence {
  private incarnation: number | undefined;
  private sequence = -Infinity;
  /** Incarnations that a later one replaced. */
  private readonly former = new Set<number>();

  private constructor() {}

  static create(): SenderSequence {
    return new SenderSequence();
  }

  /** The number of replaced incarnations that are remembered. */
  get formerCount(): number {
    return this.former.size;
  }

  /** Records a message; returns false if it is late and must not count. */
  accept(incarnation: number, sequence: number): boolean {
    if (this.former.has(incarnation)) return false;
    if (this.incarnation === incarnation && sequence <= this.sequence) {
      return false;
    }
    if (this.incarnation !== undefined && this.incarnation !== incarnation) {
      this.former.add(this.incarnation);
      if (this.former.size > MAX_FORMER) evictOldest(this.former);
    }
    this.incarnation = incarnation;
    this.sequence = sequence;
    return true;
  }
}
