/** The caller's side of one request: its socket and what may be written. */
import {refusalBody, retryAfterSeconds, REFUSAL_STATUS} from '@applebend/core';

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal} from '@applebend/core';

/** Headers of an answer. @public */
export type HttpHeaders = Record<string, string | string[] | undefined>;

/** Writes exactly one answer, whole or visibly broken off. @public */
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

  /** A caller that reads nothing for `slowTimeoutMs` counts as gone. */
  static create(
    requestId: string,
    req: IncomingMessage,
    res: ServerResponse,
    slowTimeoutMs: number
  ): Caller {
    return new Caller(requestId, req, res, slowTimeoutMs);
  }

  /** Aborts when the caller goes away before its answer ended. */
  get gone(): AbortSignal {
    return this.goneController.signal;
  }

  /** Whether any part of the answer has been written. */
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

  /** Writes a part of the answer and waits while the caller is slow. */
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

  /** Ends an answer that is whole. */
  end(chunk?: Uint8Array | string): void {
    this.finished = true;
    if (chunk === undefined) this.res.end();
    else this.res.end(chunk);
  }

  /** Refuses at once, or breaks off an answer that has begun. */
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

  /** A stream gets a typed event first; no answer is closed as if whole. */
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
