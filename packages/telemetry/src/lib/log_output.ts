/** Lines are dropped while more than this is buffered for a slow reader. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** A stream that failed is tried again after this, as a full disk may empty. */
const RETRY_MS = 5000;

const guarded = new WeakSet<NodeJS.WritableStream>();

/**
 * Keeps errors of a stream from becoming exceptions that nothing catches.
 * Whoever writes learns of them from the callback of the write.
 *
 * @internal
 */
export function ignoreErrorEvents(stream: NodeJS.WritableStream): void {
  if (guarded.has(stream)) return;
  guarded.add(stream);
  stream.on('error', () => undefined);
}

/** The parts of a stream that an output uses. @internal */
export type OutputStream = Pick<
  NodeJS.WriteStream,
  'on' | 'write' | 'writableLength'
>;

/** Returns the standard stream that takes the lines another one cannot. */
function otherStandardStream(stream: OutputStream): OutputStream {
  return stream === process.stdout ? process.stderr : process.stdout;
}

/**
 * Writes lines without waiting for a slow reader. A line that the stream does not
 * take goes to the other stream; one that neither takes is counted.
 *
 * @internal
 */
export class LogOutput {
  /** Lines that were not written since the last call of `takeLost`. */
  private lost = 0;
  /** Until then lines go to the fallback. */
  private failedUntilMs = -Infinity;
  /** Whether the fallback was told of the present failure. */
  private isReported = false;

  private constructor(
    private readonly stream: OutputStream,
    private readonly fallback: OutputStream,
    /** Encodes the line that tells the fallback of a failure. */
    private readonly failureLine: (err: Error) => string
  ) {}

  static create(
    stream: OutputStream,
    failureLine: (err: Error) => string,
    fallback = otherStandardStream(stream)
  ): LogOutput {
    ignoreErrorEvents(stream as NodeJS.WriteStream);
    ignoreErrorEvents(fallback as NodeJS.WriteStream);
    return new LogOutput(stream, fallback, failureLine);
  }

  /** Returns the number of lost lines and counts from 0 again. */
  takeLost(): number {
    const {lost} = this;
    this.lost = 0;
    return lost;
  }

  /**
   * @param lostBefore - lost lines that this line reports; they are counted again
   *   if it is lost, too
   */
  write(line: string, lostBefore: number): void {
    const item = {line, lost: lostBefore + 1};
    if (performance.now() < this.failedUntilMs) this.writeToFallback(item);
    else this.writeToStream(item);
  }

  private writeToStream(item: Item): void {
    tryWrite(this.stream, item, err => {
      if (err === undefined) this.isReported = false;
      else this.onFailed(item, err);
    });
  }

  private onFailed(item: Item, err: Error): void {
    if (err === BUFFER_FULL) {
      this.lost += item.lost;
      return;
    }
    this.failedUntilMs = performance.now() + RETRY_MS;
    if (!this.isReported) {
      this.isReported = true;
      this.writeToFallback({line: this.failureLine(err), lost: 0});
    }
    this.writeToFallback(item);
  }

  private writeToFallback(item: Item): void {
    tryWrite(this.fallback, item, err => {
      if (err !== undefined) this.lost += item.lost;
    });
  }
}

interface Item {
  readonly line: string;
  /** Lines that are lost if this one is. */
  readonly lost: number;
}

const BUFFER_FULL = new RangeError('too much is buffered for the reader');

/** Writes a line; the callback gets the error, or undefined once written. */
function tryWrite(
  stream: OutputStream,
  {line}: Item,
  onResult: (err: Error | undefined) => void
): void {
  if (stream.writableLength > MAX_BUFFERED_BYTES) {
    onResult(BUFFER_FULL);
    return;
  }
  try {
    stream.write(line, err => onResult(err ?? undefined));
  } catch (err) {
    onResult(err instanceof Error ? err : new TypeError(String(err)));
  }
}
