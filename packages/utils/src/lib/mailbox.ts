/**
 * A queue of messages with one handler, which handles them one at a time in the
 * order of posting. A task changes its state only in the handler, so messages
 * that it causes itself can't interrupt it. Messages must not be undefined.
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

  /**
   * Handles the message at once, or after those already queued. An error of the
   * handler goes to the outermost `post`; messages still queued are handled at
   * the next one.
   */
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
