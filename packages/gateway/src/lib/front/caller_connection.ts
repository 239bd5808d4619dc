import {RequestQueue} from './request_queue.js';
import {RAW_HEADER_BYTES, REQUEST_BYTES, VERDICT} from './waiting_requests.js';

import type http from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@applebend/utils';
import type {WaitingRequests} from './waiting_requests.js';

/** A request whose head was read. @public */
export interface ParsedRequest {
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  /** Monotonic milliseconds. */
  readonly arrivedAtMs: number;
}

/** What a connection needs of its server. @public */
export interface CallerConnectionDeps {
  readonly clock: Clock;
  /** Those of all connections. */
  readonly waiting: WaitingRequests;
  /** Whether the event loop is behind. */
  isOverloaded(): boolean;
  /** Runs a request; its response closes when it is answered. */
  serve(request: ParsedRequest, connection: CallerConnection): void;
  /** Called when the response to a request that was run has closed. */
  onAnswered(): void;
  /** Called when the connection is closed since too many requests wait. */
  onOverflow(): void;
}

/**
 * Time between the end of an answer and the close of a connection with unread
 * bytes. The close resets the connection, which could cost the caller the
 * answer.
 *
 * @internal
 */
export const LINGER_MS = 2000;

/** The caller closed the connection within a head. */
const CUT_OFF = 'HPE_INVALID_EOF_STATE';
const LATE_HEAD = 'ERR_HTTP_REQUEST_TIMEOUT';

const connections = new WeakMap<Socket, CallerConnection>();

/** Runs the requests of one connection one after the other. @public */
export class CallerConnection {
  private readonly queue = RequestQueue.create<ParsedRequest>();
  /** Memory of the requests that wait, or were dropped before the close. */
  private heldBytes = 0;
  private running: http.ServerResponse | undefined;
  private isPassedOn = false;
  /** Whether it closes without another request being run. */
  private isEnding = false;
  private isPaused = false;

  private constructor(
    private readonly socket: Socket,
    private readonly deps: CallerConnectionDeps
  ) {}

  static create(socket: Socket, deps: CallerConnectionDeps): CallerConnection {
    const connection = new CallerConnection(socket, deps);
    connections.set(socket, connection);
    socket.on('close', () => connection.onClose());
    // Node's parser resumes the connection when a request is used up.
    socket.on('resume', () => {
      if (connection.isPaused) socket.pause();
    });
    return connection;
  }

  /** The connection of a socket that was accepted. */
  static of(socket: Socket): CallerConnection | undefined {
    return connections.get(socket);
  }

  get hasWaiting(): boolean {
    return this.queue.waitingCount > 0;
  }

  /** Whether a part of the present answer was written. */
  get hasBegunAnswer(): boolean {
    return this.running?.headersSent ?? false;
  }

  /**
   * Whether the caller may have closed the connection without this being
   * noticed. To be asked after the events of the connection were handled.
   */
  get mayHaveBeenClosed(): boolean {
    return this.queue.isUnreadTooLong(this.deps.clock.monotonicMs());
  }

  onRequest(request: ParsedRequest): void {
    if (this.socket.destroyed) return;
    const {arrivedAtMs} = request;
    if (!this.isEnding && this.queue.onRequest(request, arrivedAtMs)) {
      this.run(request);
      return;
    }
    const bytes = memoryOf(request);
    this.heldBytes += bytes;
    const {waiting} = this.deps;
    const verdict = waiting.add(bytes, this.heldBytes, this.isPassedOn);
    if (this.isEnding) waiting.remove(1);
    if (verdict === VERDICT.close) this.endEarly(false);
    else if (verdict === VERDICT.endAfterAnswer) this.endEarly(true);
    else this.updateReading();
  }

  /** The request that runs may reach a target from now on. */
  onPassOn(): void {
    this.isPassedOn = true;
  }

  /**
   * Handles bytes that are no request, or a head that is late. Returns false if
   * Node's usual answer may be written: it would be taken for that to a request
   * that was passed on, and 408 promises that it has not run.
   */
  onClientError({code}: NodeJS.ErrnoException): boolean {
    const {socket} = this;
    if (!this.isPassedOn || socket.destroyed || code === CUT_OFF) return false;
    // The rest of a head may be among the bytes that are not read.
    if (this.isPaused && code === LATE_HEAD) return true;
    this.dropRest();
    socket.pause();
    return true;
  }

  private run(request: ParsedRequest): void {
    this.running = request.res;
    request.res.on('close', () => this.onAnswered());
    this.deps.serve(request, this);
  }

  /** The response to the request that runs has closed. */
  private onAnswered(): void {
    if (this.running === undefined) return;
    this.running = undefined;
    this.isPassedOn = false;
    this.deps.onAnswered();
    const {socket} = this;
    // What waits is dropped when the connection has closed.
    if (socket.destroyed || !socket.writable) return;
    if (this.isEnding) {
      socket.end();
      setTimeout(() => socket.destroy(), LINGER_MS).unref();
      return;
    }
    if (this.hasWaiting) setImmediate(() => this.runNext());
    else this.queue.onAnswered();
  }

  /** In a later turn of the event loop, so that other connections are served. */
  private runNext(): void {
    // What waited is dropped when the connection has closed, or will.
    const next = this.queue.onAnswered();
    if (next === undefined) return;
    this.deps.waiting.remove(1);
    this.release(memoryOf(next));
    this.updateReading();
    this.run(next);
  }

  private updateReading(): void {
    if (this.isEnding) return;
    const isPaused = !this.queue.canRead;
    if (isPaused === this.isPaused) return;
    // To parse the rest of a read would keep other callers waiting.
    if (isPaused && this.deps.isOverloaded()) {
      this.endEarly(this.isPassedOn);
      return;
    }
    this.isPaused = isPaused;
    if (isPaused) this.socket.pause();
    else this.socket.resume();
  }

  private endEarly(afterAnswer: boolean): void {
    if (!this.isEnding) this.deps.onOverflow();
    this.dropRest();
    if (afterAnswer) this.socket.pause();
    else this.socket.destroy();
    stopParsing(this.socket);
  }

  /** No other request is run than the one that runs. */
  private dropRest(): void {
    this.isEnding = true;
    this.isPaused = true;
    this.dropWaiting();
  }

  private onClose(): void {
    // A response that was never the first of its connection does not close.
    this.onAnswered();
    this.dropWaiting();
    this.release(this.heldBytes);
  }

  private dropWaiting(): void {
    this.deps.waiting.remove(this.queue.drop());
  }

  private release(bytes: number): void {
    this.heldBytes -= bytes;
    this.deps.waiting.release(bytes);
  }
}

/**
 * Whether other requests of the same connection wait behind that of a response.
 * It must not close the connection then, as they were read and need an answer.
 *
 * @public
 */
export function isFollowed({req}: http.ServerResponse): boolean {
  return connections.get(req.socket)?.hasWaiting ?? false;
}

/** What Node's parser takes for an upgrade: the bytes that follow are no HTTP. */
const STOP_PARSING = 2;

/** The part of Node's parser that no public interface reaches. */
interface NodeParser {
  onIncoming(): number;
}

/**
 * Makes Node's parser leave the rest of the present read. It may be 2,000 more
 * requests, which even a destroyed socket would hold until its close is
 * reported, and one turn of the event loop reads up to 1,024 sockets.
 *
 * @internal
 */
export function stopParsing(
  socket: Socket & {parser?: NodeParser | null}
): void {
  if (socket.parser) socket.parser.onIncoming = () => STOP_PARSING;
}

function memoryOf({req}: ParsedRequest): number {
  let bytes = REQUEST_BYTES + (req.url?.length ?? 0);
  for (const text of req.rawHeaders) bytes += RAW_HEADER_BYTES + text.length;
  return bytes;
}
