/**
 * Bounds the bytes that an instance keeps of responses which are not complete or
 * not yet sent. A response without room is forwarded as it arrives.
 *
 * @public
 */
export class ResponseMemory {
  private held = 0;

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): ResponseMemory {
    return new ResponseMemory(limitBytes);
  }

  /** Bytes of all responses, by the capacity of their buffers. */
  get heldBytes(): number {
    return this.held;
  }

  /** Starts to count a response, which holds nothing yet. */
  claim(): ResponseClaim {
    return new ResponseClaim(this);
  }

  /**
   * Adds bytes, or takes them off if negative; adds none without room.
   *
   * @internal
   */
  tryAdd(bytes: number): boolean {
    if (bytes > 0 && this.held + bytes > this.limitBytes) return false;
    this.held += bytes;
    return true;
  }
}

/** The bytes that one response holds. @public */
export class ResponseClaim {
  private bytes = 0;
  private isReleased = false;

  /** @internal */
  constructor(private readonly memory: ResponseMemory) {}

  /** Holds so many bytes in all; returns false, and holds no more, without room. */
  growTo(bytes: number): boolean {
    if (this.isReleased || !this.memory.tryAdd(bytes - this.bytes))
      return false;
    this.bytes = bytes;
    return true;
  }

  /** Frees the bytes for good; calls after the first have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.memory.tryAdd(-this.bytes);
  }
}
