import http from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {listenWhenFree} from '@applebend/utils';
import {readBody} from './body_reader.js';
import {CallerConnection} from './caller_connection.js';
import {MAX_HEADER_LINES, checkHead, hasTooManyLines} from './check_head.js';
import {checkRequest} from './check_request.js';
import {onClientError, refuseLines} from './client_errors.js';
import {Exchange} from './exchange.js';
import {
  INTERNAL_FAULT,
  overloadedResponse,
  STOPPING,
  TOO_MANY_WAITING,
  unreadResponse,
} from './front_refusals.js';
import {hasDisconnected} from './has_disconnected.js';
import {recordUsage} from './record_usage.js';
import {refuseUnread, sendResponse} from './responses.js';
import {WaitingRequests} from './waiting_requests.js';

import type {FleetLimits} from '@applebend/routing';
import type {PortOptions} from '@applebend/utils';
import type {BodyError, HeldBody} from './body_reader.js';
import type {CallerConnectionDeps, ParsedRequest} from './caller_connection.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';
import type {GatewayResponse} from './responses.js';

/** Before a configuration is read, and the most that one may allow. */
const MAX_HEADER_BYTES = 64 * 1024;
/**
 * Node drops header lines beyond a limit without an error, and adds lines to a
 * head in groups of 32. With one line more than a request may have, a head that
 * is too long is never cut to one that is allowed.
 */
const MAX_PARSED_LINES = MAX_HEADER_LINES + 1;
/** How often Node closes connections that exceed the header timeout. */
const CHECK_INTERVAL_MS = 1000;
/**
 * Connections that may wait to be accepted. With a longer queue, callers wait
 * here although another instance could serve them.
 */
const LISTEN_BACKLOG = 128;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 5000;
/**
 * Idle connections are closed this much later than the configured timeout,
 * which callers rely on, so that none sends while its connection is closed.
 */
const IDLE_MARGIN_MS = 1000;
/**
 * Requests are accepted for this long after the stop signal. Later ones are
 * refused, so that each accepted request has most of the grace period.
 */
const ACCEPT_AFTER_STOP_MS = 2500;

/**
 * Node reads the size for each connection that it accepts; its types leave the
 * property out.
 */
type HeadLimitedServer = http.Server & {maxHeaderSize?: number};

/** Accepts and checks callers' requests and starts exchanges. @public */
export class FrontServer {
  private readonly server: HeadLimitedServer;
  private stoppingSinceMs = Infinity;
  private active = 0;
  private accepted = 0;
  private readonly waiting = WaitingRequests.create();
  /** Attempts that were passed on to an exchange and have no whole response. */
  private readonly passedOn = new Set<string>();

  private constructor(private readonly deps: ExchangeDeps) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        requestTimeout: 0,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
        // Checked with each request, since Node responds to all at once.
        requireHostHeader: false,
      },
      (req, res) => this.onParsed(req, res)
    );
    this.server.on('checkExpectation', (req, res) => this.onParsed(req, res));
    const connectionDeps: CallerConnectionDeps = {
      clock: deps.clock,
      waiting: this.waiting,
      isOverloaded: () => deps.state.overloadGuard.isOverloaded,
      serve: (request, connection) => void this.serve(request, connection),
      onAnswered: () => (this.active -= 1),
      onOverflow: () => deps.onPipeliningClosed(),
    };
    this.server.maxHeadersCount = MAX_PARSED_LINES;
    this.server.on('clientError', onClientError);
    this.server.on('connection', socket => {
      this.accepted += 1;
      deps.state.callerConnections += 1;
      CallerConnection.create(socket, connectionDeps);
      socket.on('close', () => (deps.state.callerConnections -= 1));
    });
  }

  /** Creates a server and resolves when its port is open. */
  static async create(
    deps: ExchangeDeps,
    port: PortOptions
  ): Promise<FrontServer> {
    const frontServer = new FrontServer(deps);
    await listenWhenFree(frontServer.server, {
      ...port,
      backlog: LISTEN_BACKLOG,
    });
    return frontServer;
  }

  /** Number of requests whose response is not complete. */
  get activeCount(): number {
    return this.active + this.waiting.count;
  }

  /** Number of requests that wait for another one on their connection. */
  get waitingCount(): number {
    return this.waiting.count;
  }

  /** Ids of attempts that may have reached a target and have no whole response. */
  get unansweredAttempts(): string[] {
    return [...this.passedOn];
  }

  /** Number of connections that were accepted since the start. */
  get acceptedCount(): number {
    return this.accepted;
  }

  /** Whether a request that is sent now has most of the grace period. */
  private get acceptsRequests(): boolean {
    const stoppingMs = this.deps.clock.monotonicMs() - this.stoppingSinceMs;
    return stoppingMs <= ACCEPT_AFTER_STOP_MS;
  }

  /**
   * Applies the limits of a new configuration, that of heads to connections
   * accepted from now on.
   */
  onLimits({
    idleTimeoutMs,
    headerTimeoutMs,
    maxHeaderBytes,
  }: FleetLimits): void {
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.maxHeaderSize = Math.min(MAX_HEADER_BYTES, maxHeaderBytes);
  }

  /** Starts the period after which new requests are refused. */
  beginShutdown(): void {
    this.stoppingSinceMs = this.deps.clock.monotonicMs();
  }

  /** Stops listening and closes idle connections. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  /** Closes all connections, also those of running requests. */
  halt(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** For a request whose caller may have left while it waited. */
  private refuseWaited(
    context: RequestContext,
    res: http.ServerResponse
  ): void {
    const {deps} = this;
    recordUsage(deps, context, false);
    sendResponse(res, TOO_MANY_WAITING, deps.state.closesConnections);
  }

  private async refuseOverloaded(
    context: RequestContext,
    res: http.ServerResponse
  ): Promise<void> {
    const {deps} = this;
    deps.onOverloaded();
    recordUsage(deps, context, false);
    const response = overloadedResponse(context, deps);
    await refuse(res, response, deps.state.closesConnections);
  }

  private onParsed(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (hasTooManyLines(req)) {
      refuseLines(req);
      return;
    }
    const arrivedAtMs = this.deps.clock.monotonicMs();
    const connection = CallerConnection.of(req.socket);
    connection?.onRequest({req, res, arrivedAtMs});
  }

  private async serve(
    request: ParsedRequest,
    connection: CallerConnection
  ): Promise<void> {
    const {res} = request;
    this.active += 1;
    res.on('error', () => res.destroy());
    try {
      await this.onRequest(request, connection);
    } catch (err) {
      // An exchange ends by itself, so nothing was sent to a target.
      this.deps.onFault(err, '');
      sendResponse(res, INTERNAL_FAULT, true);
    }
  }

  private async onRequest(
    request: ParsedRequest,
    connection: CallerConnection
  ): Promise<void> {
    const {deps} = this;
    const {req, res, arrivedAtMs} = request;
    const {state, clock, codec} = deps;
    if (!this.acceptsRequests) {
      await refuse(res, STOPPING, true);
      return;
    }
    const fault = checkHead(req);
    if (fault !== undefined) {
      sendResponse(res, fault, true);
      return;
    }
    const checked = checkRequest(
      {
        host: req.headers.host ?? '',
        url: req.url ?? '/',
        caller: codec.decodeCallerRequest(req.rawHeaders),
        arrivedAtMs,
      },
      state
    );
    if (!checked.ok) {
      await refuse(res, checked.err, state.closesConnections);
      return;
    }
    const context = checked.value;
    const nowMs = clock.monotonicMs();
    if (state.overloadGuard.shouldRefuse(context.customer ?? '', nowMs)) {
      await this.refuseOverloaded(context, res);
      return;
    }
    const body = await readBody(req, {
      maxBytes: context.config.limits.maxBodyBytes,
      leftMs: context.deadlineAtMs - nowMs,
      claim: () => state.bodyMemory.claim(context.customer ?? ''),
    });
    if (!body.ok) {
      await this.onUnreadBody(body.err, context, req, res);
      return;
    }
    let isTakenOver = false;
    try {
      const {value} = body;
      isTakenOver = await this.startExchange(
        context,
        value,
        request,
        connection
      );
    } finally {
      if (!isTakenOver) body.value?.claim.release();
    }
  }

  /** Returns whether an exchange has begun, which frees the body at its end. */
  private async startExchange(
    context: RequestContext,
    body: HeldBody | undefined,
    {req, res}: ParsedRequest,
    connection: CallerConnection
  ): Promise<boolean> {
    const {deps} = this;
    if (await hasDisconnected(req.socket)) {
      deps.onCallerDisconnected();
      return false;
    }
    if (connection.mayHaveBeenClosed) {
      this.refuseWaited(context, res);
      return false;
    }
    // The body may take long, so the grace period may have become too short.
    if (!this.acceptsRequests) {
      sendResponse(res, STOPPING, true);
      return false;
    }
    const inbound = {req, res, body: body?.bytes, bodyClaim: body?.claim};
    connection.onPassOn();
    const {attemptId} = context.caller;
    this.passedOn.add(attemptId);
    res.on('close', () => this.passedOn.delete(attemptId));
    Exchange.create(context, inbound, deps);
    return true;
  }

  private async onUnreadBody(
    {kind}: BodyError,
    context: RequestContext,
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const {deps} = this;
    if (await hasDisconnected(req.socket)) {
      deps.onCallerDisconnected();
      return;
    }
    if (kind === 'broken_off') {
      res.destroy();
      return;
    }
    deps.onBodyRefused(kind, context.customer ?? '');
    if (kind === 'body_memory') recordUsage(deps, context, false);
    refuseUnread(req, res, unreadResponse(kind, context, deps));
  }
}

/**
 * Refuses a request. Before its response closes the connection, the requests that
 * were read together with it are parsed, as they need an answer, too.
 */
async function refuse(
  res: http.ServerResponse,
  response: GatewayResponse,
  closeConnection: boolean
): Promise<void> {
  if (closeConnection) await setImmediate();
  sendResponse(res, response, closeConnection);
}
