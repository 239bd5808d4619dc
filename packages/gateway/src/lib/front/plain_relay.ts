/** Passes a whole answer on, with its length, once all of it is here. */
import type http from 'node:http';
import type {TargetResponse} from '../upstream/target_call.js';

/** @public */
export interface PlainRelayEvents {
  onDone(): void;
  /** Nothing was passed on. */
  onBroken(): void;
}

/** Larger answers are passed on while they come. */
const MAX_HELD_BYTES = 1024 * 1024;

/** @public */
export class PlainRelay {
  private chunks: Buffer[] = [];
  private bytes = 0;
  private over = false;
  private passing = false;

  private constructor(
    private readonly response: TargetResponse,
    private readonly res: http.ServerResponse,
    private readonly closing: boolean,
    private readonly events: PlainRelayEvents
  ) {
    const from = response.res;
    from.on('data', (chunk: Buffer) => this.onData(chunk));
    from.on('end', () => this.onEnd());
    from.on('close', () => this.onClose());
  }

  static create(
    response: TargetResponse,
    res: http.ServerResponse,
    closing: boolean,
    events: PlainRelayEvents
  ): PlainRelay {
    return new PlainRelay(response, res, closing, events);
  }

  private onData(chunk: Buffer): void {
    if (this.over) return;
    if (this.passing) {
      this.pass(chunk);
      return;
    }
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    if (this.bytes <= MAX_HELD_BYTES) return;
    this.passing = true;
    this.writeHead(undefined);
    for (const held of this.chunks) this.pass(held);
    this.chunks = [];
  }

  private pass(chunk: Buffer): void {
    const from = this.response.res;
    if (this.res.write(chunk)) return;
    from.pause();
    this.res.once('drain', () => from.resume());
  }

  private onEnd(): void {
    if (this.over || !this.response.isWhole()) return;
    this.over = true;
    if (this.passing) {
      this.res.end();
    } else {
      this.writeHead(this.bytes);
      this.res.end(Buffer.concat(this.chunks));
    }
    this.events.onDone();
  }

  private onClose(): void {
    if (this.over) return;
    this.over = true;
    if (this.passing) this.res.destroy();
    this.events.onBroken();
  }

  private writeHead(length: number | undefined): void {
    const {answer, status} = this.response;
    const headers = [...answer.headers];
    if (length !== undefined) headers.push('Content-Length', String(length));
    if (this.closing) headers.push('Connection', 'close');
    this.res.writeHead(status, headers);
  }
}
