import {MemoryClaim} from './memory_claim.js';

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
  claim(): MemoryClaim {
    return MemoryClaim.create({
      fits: bytes => this.held + bytes <= this.limitBytes,
      add: bytes => (this.held += bytes),
    });
  }
}
