/** What is done to the connection that brought one more request. @public */
export const VERDICT = {
  keep: 'keep',
  /** The request that was passed on is answered, the others are not run. */
  endAfterAnswer: 'end_after_answer',
  close: 'close',
} as const;

export type Verdict = (typeof VERDICT)[keyof typeof VERDICT];

/** Memory of a parsed request and its response, without what the caller sent. */
export const REQUEST_BYTES = 4096;
/** Memory of a name or value of a header, without its text. */
export const RAW_HEADER_BYTES = 100;
/**
 * Memory that waiting requests of all connections may take. The heap has
 * 160 MB, of which an instance without load uses some 20 MB.
 */
const SOFT_LIMIT_BYTES = 32 * 1024 * 1024;
/**
 * Above this, also connections are closed of which a request is at a target, or
 * that hold little.
 */
const HARD_LIMIT_BYTES = 2 * SOFT_LIMIT_BYTES;
/** What a connection may hold up to then: 12 short requests. */
const SMALL_BYTES = 80 * 1024;

/**
 * The requests of all connections that are parsed and wait for another one on
 * their connection, and the memory that is held for them.
 *
 * @public
 */
export class WaitingRequests {
  private requests = 0;
  private bytes = 0;

  private constructor() {}

  static create(): WaitingRequests {
    return new WaitingRequests();
  }

  get count(): number {
    return this.requests;
  }

  get heldBytes(): number {
    return this.bytes;
  }

  /**
   * Adds a request.
   *
   * @param heldBytes - what its connection holds, including this request
   * @param isPassedOn - whether a request of its connection may be at a target
   */
  add(bytes: number, heldBytes: number, isPassedOn: boolean): Verdict {
    this.requests += 1;
    this.bytes += bytes;
    if (this.bytes <= SOFT_LIMIT_BYTES) return VERDICT.keep;
    if (this.bytes > HARD_LIMIT_BYTES) return VERDICT.close;
    if (heldBytes <= SMALL_BYTES) return VERDICT.keep;
    return isPassedOn ? VERDICT.endAfterAnswer : VERDICT.close;
  }

  /** Requests that run now, or never will. Their memory may still be held. */
  remove(count: number): void {
    this.requests -= count;
  }

  /** Frees memory that was added. */
  release(bytes: number): void {
    this.bytes -= bytes;
  }
}
