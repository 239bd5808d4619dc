import {z} from 'zod';
import {fail, ok} from '@applebend/utils';
import {requestJson} from './http_json.js';

import type {Result} from '@applebend/utils';

/** Why an append or a read failed. @public */
export type LogError =
  | {readonly kind: 'log_unavailable'; readonly message: string}
  /** The append may or may not have taken effect. */
  | {readonly kind: 'append_unknown'; readonly message: string}
  /** The log refused the append because there are too many. */
  | {readonly kind: 'log_throttled'; readonly message: string};

/** A record on the log. @public */
export interface LogRecord {
  readonly offset: number;
  /** When it was appended, by the log's clock, in ms since the epoch. */
  readonly appendedAtMs: number;
  readonly data: unknown;
}

/** The records of one read, in order of offset. @public */
export interface LogPage {
  readonly records: readonly LogRecord[];
  /** The oldest offset that the log still has. */
  readonly earliest: number;
  /** The offset that the next append will get. */
  readonly end: number;
  /** The log's clock, in ms since the epoch. */
  readonly nowMs: number;
}

/** The platform's log service: append-only streams of records. @public */
export interface LogService {
  /** Appends a record and returns its offset. */
  append(stream: string, data: unknown): Promise<Result<number, LogError>>;
  /** Reads a page from an offset; waits up to `waitMs` for a first record. */
  read(
    stream: string,
    from: number,
    waitMs: number
  ): Promise<Result<LogPage, LogError>>;
}

/** The address and timeout of the log service. @public */
export interface LogClientOptions {
  readonly baseUrl: string;
  readonly timeoutMs: number;
  /** The local address to connect from. */
  readonly localAddress?: string | undefined;
}

const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_OK = 200;

const appendResponseSchema = z.object({offset: z.number().int()});
const pageSchema = z.object({
  records: z.array(
    z.object({
      offset: z.number().int(),
      appendedAtMs: z.number(),
      data: z.unknown(),
    })
  ),
  earliest: z.number().int(),
  end: z.number().int(),
  nowMs: z.number(),
});

/** Accesses the log service over HTTP. @public */
export class HttpLogClient implements LogService {
  private constructor(private readonly options: LogClientOptions) {}

  static create(options: LogClientOptions): HttpLogClient {
    return new HttpLogClient(options);
  }

  async append(
    stream: string,
    data: unknown
  ): Promise<Result<number, LogError>> {
    const response = await requestJson({
      method: 'POST',
      url: this.urlOf(stream),
      body: {data},
      timeoutMs: this.options.timeoutMs,
      localAddress: this.options.localAddress,
    });
    if (!response.ok) {
      const {message, maybeSent} = response.err;
      const kind = maybeSent ? 'append_unknown' : 'log_unavailable';
      return fail({kind, message});
    }
    const {status, body} = response.value;
    if (status === STATUS_TOO_MANY_REQUESTS) {
      return fail({kind: 'log_throttled', message: 'too many appends'});
    }
    const parsed = appendResponseSchema.safeParse(body);
    if (status === STATUS_OK && parsed.success) return ok(parsed.data.offset);
    return fail({kind: 'append_unknown', message: `status ${status}`});
  }

  async read(
    stream: string,
    from: number,
    waitMs: number
  ): Promise<Result<LogPage, LogError>> {
    const response = await requestJson({
      method: 'GET',
      url: `${this.urlOf(stream)}?from=${from}&wait_ms=${waitMs}`,
      timeoutMs: this.options.timeoutMs + waitMs,
      localAddress: this.options.localAddress,
    });
    if (!response.ok) {
      return fail({kind: 'log_unavailable', message: response.err.message});
    }
    const {status, body} = response.value;
    const parsed = pageSchema.safeParse(body);
    if (status === STATUS_OK && parsed.success) return ok(parsed.data);
    return fail({kind: 'log_unavailable', message: `status ${status}`});
  }

  private urlOf(stream: string): string {
    return `${this.options.baseUrl}/streams/${encodeURIComponent(stream)}`;
  }
}
