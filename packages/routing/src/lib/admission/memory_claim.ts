/** What a claim takes its bytes from. @internal */
export interface MemoryPool {
  /** Whether so many bytes more fit now. */
  fits(bytes: number): boolean;
  /** Adds bytes, or takes them off if negative. */
  add(bytes: number): void;
}

/** The bytes that one body or response holds of a bounded memory. @public */
export class MemoryClaim {
  private bytes = 0;
  private isReleased = false;

  private constructor(private readonly pool: MemoryPool) {}

  /** Creates a claim that holds nothing yet. */
  static create(pool: MemoryPool): MemoryClaim {
    return new MemoryClaim(pool);
  }

  /** Whether so many bytes more would fit now. */
  fits(bytes: number): boolean {
    return this.pool.fits(bytes);
  }

  /** Holds so many bytes in all; returns false, and holds no more, without room. */
  growTo(bytes: number): boolean {
    const added = bytes - this.bytes;
    if (this.isReleased || (added > 0 && !this.fits(added))) return false;
    this.bytes = bytes;
    this.pool.add(added);
    return true;
  }

  /** Frees the bytes for good; calls after the first have no effect. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.pool.add(-this.bytes);
  }
}
