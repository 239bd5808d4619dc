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

  /** Records a message; returns false if it is late and must not count. */
  accept(incarnation: number, sequence: number): boolean {
    if (this.former.has(incarnation)) return false;
    if (this.incarnation === incarnation && sequence <= this.sequence) {
      return false;
    }
    if (this.incarnation !== undefined && this.incarnation !== incarnation) {
      this.former.add(this.incarnation);
    }
    this.incarnation = incarnation;
    this.sequence = sequence;
    return true;
  }
}
