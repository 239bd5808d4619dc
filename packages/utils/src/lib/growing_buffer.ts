const MIN_CAPACITY_BYTES = 4096;
const GROWTH = 2;
const EMPTY = Buffer.alloc(0);

/**
 * Collects chunks in one buffer that grows. A list of chunks would cost hundreds
 * of bytes for each chunk, however small, and twice the bytes when it is joined.
 * A single chunk is not copied.
 *
 * @public
 */
export class GrowingBuffer {
  private buffer: Buffer = EMPTY;
  private used = 0;

  private constructor(private readonly maxBytes: number) {}

  /** @param maxBytes - the most bytes that are expected; the capacity stays below */
  static create(maxBytes: number): GrowingBuffer {
    return new GrowingBuffer(maxBytes);
  }

  /** Number of bytes that were added. */
  get length(): number {
    return this.used;
  }

  /** The bytes that were added; valid until the next change. */
  get bytes(): Buffer {
    const {buffer, used} = this;
    return used === buffer.length ? buffer : buffer.subarray(0, used);
  }

  /** The capacity, in bytes, after a chunk of so many bytes is added. */
  capacityWith(chunkBytes: number): number {
    const needed = this.used + chunkBytes;
    if (this.used === 0) return needed;
    if (needed <= this.buffer.length) return this.buffer.length;
    const grown = Math.max(this.buffer.length * GROWTH, MIN_CAPACITY_BYTES);
    return Math.max(needed, Math.min(grown, this.maxBytes));
  }

  add(chunk: Buffer): void {
    const capacity = this.capacityWith(chunk.length);
    if (this.used === 0) {
      this.buffer = chunk;
    } else {
      this.reserve(capacity);
      chunk.copy(this.buffer, this.used);
    }
    this.used += chunk.length;
  }

  /** Drops the bytes. */
  clear(): void {
    this.buffer = EMPTY;
    this.used = 0;
  }

  private reserve(capacity: number): void {
    if (capacity <= this.buffer.length) return;
    const larger = Buffer.allocUnsafeSlow(capacity);
    this.buffer.copy(larger, 0, 0, this.used);
    this.buffer = larger;
  }
}
