import {match} from 'ts-pattern';
import {StandIn} from './stand_in.js';

import type {
  StandInResponse,
  ServerOptions,
  StandInRequest,
} from './stand_in_server.js';

interface LogRecord {
  readonly offset: number;
  /** Unix time. */
  readonly appendedAtMs: number;
  readonly data: unknown;
}

interface Stream {
  records: LogRecord[];
  /** The offset that the next record gets. */
  end: number;
  /** Called on the next append, to wake long polls. */
  waiters: Set<() => void>;
}

/** Address and limits of a log. @public */
export interface LogServiceOptions extends ServerOptions {
  /** Records older than this are no longer returned. */
  readonly retentionMs: number;
  /** Appends above this rate are refused with status 429. */
  readonly maxAppendsPerSecond: number;
}

const MAX_PAGE_RECORDS = 2000;
const SECOND_MS = 1000;

/**
 * A stand-in for the platform's log: append-only streams with offsets, long
 * polling and limited retention.
 * @public
 */
export class LogService extends StandIn {
  private readonly streams = new Map<string, Stream>();
  /** Unix time in whole seconds that `appendsThisSecond` counts for. */
  private currentSecond = 0;
  private appendsThisSecond = 0;
  /** Total number of accepted appends. */
  appends = 0;

  private constructor(private readonly options: LogServiceOptions) {
    super();
  }

  static create(options: LogServiceOptions): Promise<LogService> {
    return new LogService(options).listen(options);
  }

  protected async handle(request: StandInRequest): Promise<StandInResponse> {
    const {pathname} = request.url;
    if (pathname === '/stats') {
      return {status: 200, body: {appends: this.appends}};
    }
    if (!pathname.startsWith('/streams/')) return {status: 404, body: {}};
    const stream = this.streamOf(pathname.slice('/streams/'.length));
    return match(request.method)
      .with('POST', () => this.append(stream, request.body))
      .with('GET', () => this.read(stream, request.url.searchParams))
      .otherwise(() => ({status: 405, body: {}}));
  }

  private append(stream: Stream, body: string): StandInResponse {
    const second = Math.floor(Date.now() / SECOND_MS);
    if (second !== this.currentSecond) this.appendsThisSecond = 0;
    this.currentSecond = second;
    this.appendsThisSecond += 1;
    if (this.appendsThisSecond > this.options.maxAppendsPerSecond) {
      return {status: 429, body: {}};
    }
    this.appends += 1;
    const {data} = JSON.parse(body) as {data: unknown};
    const offset = stream.end;
    stream.records.push({offset, appendedAtMs: Date.now(), data});
    stream.end += 1;
    for (const wake of stream.waiters) wake();
    return {status: 200, body: {offset}};
  }

  private async read(
    stream: Stream,
    query: URLSearchParams
  ): Promise<StandInResponse> {
    const from = Number(query.get('from') ?? 0);
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (waitMs > 0 && stream.end <= from)
      await this.waitForAppend(stream, waitMs);
    this.dropExpired(stream);
    const first = stream.records[0]?.offset ?? stream.end;
    const skip = Math.max(0, from - first);
    const records = stream.records.slice(skip, skip + MAX_PAGE_RECORDS);
    const {end} = stream;
    const nowMs = Date.now();
    return {status: 200, body: {records, earliest: first, end, nowMs}};
  }

  private waitForAppend(stream: Stream, waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        stream.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      stream.waiters.add(wake);
    });
  }

  private dropExpired(stream: Stream): void {
    const oldest = Date.now() - this.options.retentionMs;
    const firstRetained = stream.records.findIndex(
      r => r.appendedAtMs >= oldest
    );
    if (firstRetained < 0) stream.records = [];
    else if (firstRetained > 0)
      stream.records = stream.records.slice(firstRetained);
  }

  private streamOf(name: string): Stream {
    let stream = this.streams.get(name);
    if (stream === undefined) {
      stream = {records: [], end: 0, waiters: new Set()};
      this.streams.set(name, stream);
    }
    return stream;
  }
}
