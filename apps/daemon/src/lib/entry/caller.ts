import {refusalBody, retryAfterSeconds, REFUSAL_STATUS} from '@applebend/core';

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal} from '@applebend/core';

/** Headers of a request or response. @public */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/**
 * The caller's side of one request. Writes exactly one response, which is
 * either complete or recognizably cut off.
 *
 * @public
 */
export class Caller {
  private readonly goneController = new AbortController();
  private finished = false;

  private constructor(
    readonly requestId: string,
    readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly slowTimeoutMs: number
  ) {
    res.on('close', () => {
      if (!this.finished) this.goneController.abort();
    });
  }

  /** A caller that reads nothing for `slowTimeoutMs` is disconnected. */
  static create(
    requestId: string,
    req: IncomingMessage,
    res: ServerResponse,
    slowTimeoutMs: number
  ): Caller {
    return new Caller(requestId, req, res, slowTimeoutMs);
  }

  /** Aborts if the caller disconnects before its response has ended. */
  get gone(): AbortSignal {
    return this.goneController.signal;
  }

  /** Whether the response headers have been sent. */
  get responseStarted(): boolean {
    return this.res.headersSent;
  }

  startResponse(status: number, headers: HttpHeaders): void {
    const allHeaders = {...headers, 'x-request-id': this.requestId};
    for (const [name, value] of Object.entries(allHeaders)) {
      if (value !== undefined) this.res.setHeader(name, value);
    }
    this.res.writeHead(status);
  }

  /**
   * Writes a chunk of the body; waits if the send buffer is full, and
   * disconnects a caller that does not read in time.
   */
  async write(chunk: Uint8Array | string): Promise<void> {
    if (this.gone.aborted || this.res.write(chunk)) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => this.res.destroy(), this.slowTimeoutMs);
      const done = () => {
        clearTimeout(timer);
        this.res.off('drain', done);
        this.res.off('close', done);
        resolve();
      };
      this.res.on('drain', done);
      this.res.on('close', done);
    });
  }

  /** Ends a complete response. */
  end(chunk?: Uint8Array | string): void {
    this.finished = true;
    if (chunk === undefined) this.res.end();
    else this.res.end(chunk);
  }

  /** Sends an error response, or aborts the response if it has started. */
  refuse(refusal: Refusal): void {
    if (this.gone.aborted) return;
    const body = refusalBody(refusal, this.requestId);
    if (this.responseStarted) return this.abortResponse(JSON.stringify(body));
    const payload = JSON.stringify(body);
    const {retryAfterMs} = refusal;
    this.startResponse(REFUSAL_STATUS[refusal.kind], {
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(payload)),
      'retry-after':
        retryAfterMs === undefined
          ? undefined
          : String(retryAfterSeconds(retryAfterMs)),
    });
    this.end(payload);
  }

  /**
   * Destroys the connection, so that the response does not seem complete. An
   * event stream gets an error event first.
   */
  private abortResponse(payload: string): void {
    this.finished = true;
    const type = String(this.res.getHeader('content-type') ?? '');
    if (!type.startsWith('text/event-stream')) {
      this.res.destroy();
      return;
    }
    this.res.write(`event: error\ndata: ${payload}\n\n`, () =>
      this.res.destroy()
    );
  }
}
