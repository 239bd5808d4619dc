import {containFaults, fail, GrowingBuffer, ok} from '@applebend/utils';
import {startDeadlineTimer} from './deadline_timer.js';

import type {IncomingMessage} from 'node:http';
import type {MemoryClaim} from '@applebend/routing';
import type {Result} from '@applebend/utils';

/** Why a body was not read to its end. @public */
export interface BodyError {
  /**
   * `broken_off` if the caller disconnected, `body_memory` if the bodies that
   * the instance holds leave no room for it, `timeout` if it came too slowly.
   */
  readonly kind: 'too_large' | 'broken_off' | 'body_memory' | 'timeout';
  readonly message: string;
}

/** A body that was read to its end. @public */
export interface HeldBody {
  readonly bytes: Buffer;
  /** To be released once nothing refers to the bytes. */
  readonly claim: MemoryClaim;
}

/** What bounds the read of a body. @public */
export interface BodyBounds {
  readonly maxBytes: number;
  /** Milliseconds until the request times out. */
  readonly leftMs: number;
  /** Called if there is a body. */
  readonly claim: () => MemoryClaim;
}

type BodyResult = Result<HeldBody | undefined, BodyError>;

const MESSAGES: Readonly<Record<BodyError['kind'], string>> = {
  too_large: 'request body over the limit',
  broken_off: 'caller disconnected while sending the body',
  body_memory: 'no memory left for the request body',
  timeout: 'request body not complete at the deadline',
};

/**
 * Reads the body of a request. Resolves to undefined if it has none. After an
 * error nothing of it is kept, and what still arrives is discarded.
 *
 * @public
 */
export function readBody(
  req: IncomingMessage,
  bounds: BodyBounds
): Promise<BodyResult> {
  const {headers} = req;
  const length = Number(headers['content-length'] ?? 0);
  const isChunked = headers['transfer-encoding'] !== undefined;
  if (!isChunked && length === 0) return Promise.resolve(ok(undefined));
  const {maxBytes, leftMs} = bounds;
  if (length > maxBytes) return Promise.resolve(failure('too_large'));
  const claim = bounds.claim();
  if (!claim.fits(length)) return Promise.resolve(failure('body_memory'));
  const endBytes = isChunked ? maxBytes : length;
  return new Promise((resolve, reject) => {
    const read = BodyRead.create(endBytes, claim, resolve);
    const contain = containFaults(err => {
      read.fail('broken_off');
      reject(err);
    });
    req.on(
      'data',
      contain((chunk: Buffer) => read.onData(chunk))
    );
    req.on('end', () => read.onEnd());
    req.on('close', () => read.fail('broken_off'));
    req.on('error', () => read.fail('broken_off'));
    read.startTimer(Math.max(0, leftMs));
  });
}

/** One body while it is read. */
class BodyRead {
  private readonly buffer: GrowingBuffer;
  private timer: NodeJS.Timeout | undefined;
  private hasEnded = false;

  private constructor(
    private readonly maxBytes: number,
    private readonly claim: MemoryClaim,
    private readonly resolve: (result: BodyResult) => void
  ) {
    this.buffer = GrowingBuffer.create(maxBytes);
  }

  static create(
    maxBytes: number,
    claim: MemoryClaim,
    resolve: (result: BodyResult) => void
  ): BodyRead {
    return new BodyRead(maxBytes, claim, resolve);
  }

  startTimer(leftMs: number): void {
    this.timer = startDeadlineTimer(() => this.fail('timeout'), leftMs);
  }

  onData(chunk: Buffer): void {
    if (this.hasEnded) return;
    const {buffer, claim, maxBytes} = this;
    if (buffer.length + chunk.length > maxBytes) this.fail('too_large');
    else if (!claim.growTo(buffer.capacityWith(chunk.length)))
      this.fail('body_memory');
    else buffer.add(chunk);
  }

  onEnd(): void {
    const {bytes} = this.buffer;
    this.end(ok({bytes, claim: this.claim}));
  }

  fail(kind: BodyError['kind']): void {
    if (this.hasEnded) return;
    this.claim.release();
    this.end(failure(kind));
  }

  private end(result: BodyResult): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.buffer.clear();
    this.resolve(result);
  }
}

function failure(kind: BodyError['kind']): Result<never, BodyError> {
  return fail({kind, message: MESSAGES[kind]});
}
