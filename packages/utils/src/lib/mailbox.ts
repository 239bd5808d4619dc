/**
 * An ordered queue of typed messages with one reader. A task owns its state
 * and changes it only while it handles a message from its mailbox.
 *
 * @public
 */
export class Mailbox<M> {
  private readonly queue: M[] = [];
  private draining = false;

  private constructor(private readonly handle: (message: M) => void) {}

  static create<M>(handle: (message: M) => void): Mailbox<M> {
    return new Mailbox(handle);
  }

  /** Handles the message now, or after the one being handled. */
  post(message: M): void {
    this.queue.push(message);
    if (this.draining) return;
    this.draining = true;
    try {
      this.drain();
    } finally {
      this.draining = false;
    }
  }

  private drain(): void {
    for (
      let next = this.queue.shift();
      next !== undefined;
      next = this.queue.shift()
    ) {
      this.handle(next);
    }
  }
}
