import net from 'node:net';

/**
 * Time for which a write may delay the end. Had the connection been reset, the
 * write would have failed by then.
 */
const MAX_DELAY_MS = 500;

/**
 * A socket that reports the end of what it receives when nothing is left to be
 * written. A reset arrives at times as an ordinary end, and only the write that
 * was under way fails: here, that failure comes first and replaces the end.
 *
 * @public
 */
export class FlushedEndSocket extends net.Socket {
  private constructor(options: net.SocketConstructorOpts) {
    super(options);
  }

  /** Starts to connect. */
  static create(options: net.NetConnectOpts): FlushedEndSocket {
    return new FlushedEndSocket(options).connect(options);
  }

  /** Called by Node with what was received, and with null at the end. */
  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk !== null || this.writableLength === 0) {
      return super.push(chunk, encoding);
    }
    this.endAfterWrites();
    return false;
  }

  private endAfterWrites(): void {
    const end = () => {
      clearTimeout(timer);
      if (this.destroyed || this.readableEnded) return;
      super.push(null);
      this.read(0);
    };
    const timer = setTimeout(end, MAX_DELAY_MS);
    // Called when all before it is written, and also when that fails.
    this.write('', end);
  }
}
