/**
 * Requests that may wait on a connection; with more of them, nothing is read
 * from it. One read may bring more at once.
 */
const MAX_WAITING = 64;
/**
 * Time up to which requests are passed on while bytes of the caller are left
 * unread. Its close may be behind these bytes, and no request may reach a
 * target later than 500 ms after the close.
 */
const MAX_UNREAD_MS = 300;

/**
 * The order of the requests of one connection: one runs, the others wait. They
 * never run side by side, since a request that is not safe must not overtake
 * another, and since what is unsent is then one answer.
 *
 * @public
 */
export class RequestQueue<T> {
  private readonly waiting: T[] = [];
  private isRunning = false;
  private unreadSinceMs = Infinity;

  private constructor() {}

  static create<T>(): RequestQueue<T> {
    return new RequestQueue<T>();
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  /** Whether more may be read from the connection. */
  get canRead(): boolean {
    return this.waiting.length <= MAX_WAITING;
  }

  /** Returns whether the request runs now; otherwise it waits. */
  onRequest(request: T, nowMs: number): boolean {
    if (!this.isRunning) {
      this.isRunning = true;
      return true;
    }
    this.waiting.push(request);
    if (!this.canRead) this.unreadSinceMs = Math.min(this.unreadSinceMs, nowMs);
    return false;
  }

  /** Ends the request that runs. Returns the next one, which runs now. */
  onAnswered(): T | undefined {
    const next = this.waiting.shift();
    this.isRunning = next !== undefined;
    return next;
  }

  /** Forgets the requests that wait; returns how many there were. */
  drop(): number {
    return this.waiting.splice(0).length;
  }

  /**
   * Whether bytes have been unread for too long to pass on a request. Called
   * when the connection was read, if it may be, and nothing is left to read.
   */
  isUnreadTooLong(nowMs: number): boolean {
    if (this.canRead) this.unreadSinceMs = Infinity;
    return nowMs - this.unreadSinceMs > MAX_UNREAD_MS;
  }
}
