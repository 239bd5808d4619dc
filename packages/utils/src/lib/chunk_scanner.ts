const CR = 0x0d;
const LF = 0x0a;
const HEX_DIGITS = '0123456789abcdef';

/** What the line that is being read holds. */
const LINE = {
  size: 'size',
  /** Nothing: the line break behind the data of a chunk. */
  dataEnd: 'dataEnd',
  trailer: 'trailer',
  /** Behind the body. */
  none: 'none',
} as const;

type Line = (typeof LINE)[keyof typeof LINE];

/**
 * Follows the chunks of a body and finds line breaks that are missing or
 * incomplete. Node's parser takes any two bytes behind the data of a chunk for
 * its line break, and so takes a body for whole that has more bytes than its
 * chunks say.
 *
 * @internal
 */
export class ChunkScanner {
  private line: Line = LINE.size;
  private size = 0;
  private isSizeRead = false;
  /** Bytes of data that are still to come. */
  private dataLeft = 0;
  private isAfterCr = false;
  private isLineEmpty = true;

  private constructor() {}

  static create(): ChunkScanner {
    return new ChunkScanner();
  }

  /** Adds received bytes; returns whether the chunks are valid so far. */
  push(bytes: Buffer): boolean {
    let at = 0;
    while (at < bytes.length && this.line !== LINE.none) {
      const skipped = Math.min(this.dataLeft, bytes.length - at);
      this.dataLeft -= skipped;
      at += skipped;
      if (at === bytes.length) break;
      if (!this.onByte(bytes[at])) return false;
      at += 1;
    }
    return true;
  }

  /** Takes a byte of a line; returns whether it may stand there. */
  private onByte(byte: number): boolean {
    if (this.isAfterCr || byte === LF) {
      const isLineBreak = this.isAfterCr && byte === LF;
      this.isAfterCr = false;
      if (isLineBreak) this.onLineEnd();
      return isLineBreak;
    }
    if (byte === CR) {
      this.isAfterCr = true;
      return true;
    }
    this.isLineEmpty = false;
    if (this.line === LINE.size) this.onSizeByte(byte);
    return this.line !== LINE.dataEnd;
  }

  /** The digits of the size; an extension may follow them. */
  private onSizeByte(byte: number): void {
    const digit = HEX_DIGITS.indexOf(String.fromCharCode(byte).toLowerCase());
    this.isSizeRead ||= digit < 0;
    if (!this.isSizeRead) this.size = this.size * HEX_DIGITS.length + digit;
  }

  private onLineEnd(): void {
    this.line = this.lineAfter();
    this.isLineEmpty = true;
    if (this.line === LINE.dataEnd) this.dataLeft = this.size;
    if (this.line !== LINE.size) return;
    this.size = 0;
    this.isSizeRead = false;
  }

  private lineAfter(): Line {
    if (this.line === LINE.dataEnd) return LINE.size;
    if (this.line === LINE.trailer) {
      return this.isLineEmpty ? LINE.none : LINE.trailer;
    }
    return this.size > 0 ? LINE.dataEnd : LINE.trailer;
  }
}
