const CR = 0x0d;
const LF = 0x0a;

/**
 * Searches the heads of responses for a carriage return without a line feed.
 * Node's parser takes whatever follows one for the line feed, and so ends a line,
 * or the head, where the server did not end it.
 *
 * @internal
 */
export class HeadScanner {
  private hasEnded = false;
  private hasStarted = false;
  private isAfterCr = false;
  private isLineEmpty = true;
  private behindHead: Buffer = Buffer.alloc(0);

  private constructor() {}

  static create(): HeadScanner {
    return new HeadScanner();
  }

  /** What the last bytes hold behind the end of the head. */
  get rest(): Buffer {
    return this.behindHead;
  }

  /** Adds received bytes; returns whether the head is valid so far. */
  push(chunk: Buffer): boolean {
    if (this.hasEnded) return true;
    for (let i = 0; i < chunk.length; i++) {
      const byte = chunk[i];
      if (this.isAfterCr && byte !== LF) return false;
      this.isAfterCr = byte === CR;
      if (byte === LF) {
        this.onLineEnd(chunk, i + 1);
        if (this.hasEnded) return true;
      } else if (byte !== CR) {
        this.hasStarted = true;
        this.isLineEmpty = false;
      }
    }
    return true;
  }

  /** Goes on with the head behind that of an informational response. */
  startNextHead(): boolean {
    this.hasEnded = false;
    this.hasStarted = false;
    return this.push(this.rest);
  }

  /** An empty line ends the head, but not in front of the status line. */
  private onLineEnd(chunk: Buffer, nextAt: number): void {
    this.hasEnded = this.isLineEmpty && this.hasStarted;
    this.isLineEmpty = true;
    if (this.hasEnded) this.behindHead = chunk.subarray(nextAt);
  }
}
