import {MemoryClaim} from './memory_claim.js';
import {honoredRetryAfterMs} from './retry_after.js';

/** What the time depends on after which a refused caller may retry. @public */
export interface RefusedBody {
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** Random number from 0 (inclusive) to 1, spreads the retries. */
  readonly spread: number;
}

/** Most requests have ended by then, which frees their bodies. */
const RETRY_AFTER_MS = 500;
/** Longest random time added, so that refused callers do not retry together. */
const RETRY_AFTER_SPREAD_MS = 1000;

/**
 * Bounds the bytes of the request bodies that an instance holds, from their first
 * byte to the end of the request. Bytes count as they arrive: if the announced
 * length were reserved, a caller that sends nothing could block the others.
 *
 * A customer may hold as much as is left free (dynamic thresholds, as switches
 * share a buffer among queues). One that floods gets half, two get a third each,
 * and so on: there is always room for the small bodies of one more.
 *
 * @public
 */
export class BodyMemory {
  private held = 0;
  private readonly heldBy = new Map<string, number>();

  private constructor(readonly limitBytes: number) {}

  static create(limitBytes: number): BodyMemory {
    return new BodyMemory(limitBytes);
  }

  /** Bytes of all bodies, by the capacity of their buffers. */
  get heldBytes(): number {
    return this.held;
  }

  /** Starts to count a body, which holds nothing yet. */
  claim(customer: string): MemoryClaim {
    return MemoryClaim.create({
      fits: bytes => this.fits(customer, bytes),
      add: bytes => this.add(customer, bytes),
    });
  }

  /** Whether the customer may hold so many bytes more. */
  private fits(customer: string, bytes: number): boolean {
    const own = this.heldBy.get(customer) ?? 0;
    const freeBytes = this.limitBytes - this.held;
    return own + bytes <= freeBytes - bytes;
  }

  /** Seconds after which a refused caller may retry. */
  retryAfterS({leftMs, spread}: RefusedBody): number {
    const retryAfterMs = RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * spread;
    return honoredRetryAfterMs(retryAfterMs, leftMs, spread) / 1000;
  }

  private add(customer: string, bytes: number): void {
    this.held += bytes;
    const own = (this.heldBy.get(customer) ?? 0) + bytes;
    if (own > 0) this.heldBy.set(customer, own);
    else this.heldBy.delete(customer);
  }
}
