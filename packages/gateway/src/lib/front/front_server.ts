/** The callers' side: accepts requests, checks them and starts exchanges. */
import http from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {EXECUTION} from '../errors.js';
import {listenOn} from '../listen.js';
import {readBody} from './body_reader.js';
import {checkRequest} from './check_request.js';
import {Exchange} from './exchange.js';
import {recordUsage} from './record_usage.js';
import {STATUS, sendResponse} from './responses.js';

import type {Socket} from 'node:net';
import type {ListenAddress} from '../ports.js';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';
import type {GatewayResponse} from './responses.js';

const MAX_HEADER_BYTES = 64 * 1024;
/** How often Node looks for connections past their header timeout. */
const CHECK_INTERVAL_MS = 1000;
/** Turns of the event loop after which a close that came along is known. */
const CLOSE_DETECTION_TURNS = 2;
/**
 * Connections that may wait to be accepted. A longer queue makes callers wait
 * where another instance would serve them.
 */
const LISTEN_BACKLOG = 128;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_MS = 5000;
/** Connections are closed a little later than their clients are told. */
const IDLE_MARGIN_MS = 1000;
/**
 * New work is refused when this time has gone since the stop signal, so that
 * what was taken has most of the grace period.
 */
const ACCEPT_AFTER_STOP_MS = 2500;

const STOPPING: GatewayResponse = {
  status: STATUS.unavailable,
  kind: 'stopping',
  execution: EXECUTION.notRun,
  retryAfterS: 0.1,
};

/** @public */
export class FrontServer {
  private readonly server: http.Server;
  private stoppingSinceMs = Infinity;
  private active = 0;

  private constructor(private readonly deps: ExchangeDeps) {
    this.server = http.createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_MARGIN_MS,
        headersTimeout: DEFAULT_HEADER_MS,
        requestTimeout: 0,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        noDelay: true,
      },
      (req, res) => void this.onRequest(req, res)
    );
    this.server.on('connection', socket => {
      deps.state.callerConnections += 1;
      socket.on('close', () => (deps.state.callerConnections -= 1));
    });
  }

  /** Listens at once; resolves when the port is open. */
  static async create(
    deps: ExchangeDeps,
    address: ListenAddress
  ): Promise<FrontServer> {
    const frontServer = new FrontServer(deps);
    await listenOn(frontServer.server, address, LISTEN_BACKLOG);
    return frontServer;
  }

  /** Requests that have no whole answer yet. */
  get activeCount(): number {
    return this.active;
  }

  /** Takes the limits of a new configuration. */
  onLimits(idleTimeoutMs: number, headerTimeoutMs: number): void {
    this.server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    this.server.headersTimeout = headerTimeoutMs;
  }

  /** From now on answers ask the callers to close their connections. */
  beginShutdown(): void {
    this.stoppingSinceMs = this.deps.clock.monotonicMs();
  }

  /** Stops listening and closes what is idle. */
  close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private refuseOverloaded(
    context: RequestContext,
    res: http.ServerResponse
  ): void {
    const {state, random, onOverloaded} = this.deps;
    onOverloaded();
    recordUsage(this.deps, context, false);
    const answer = {
      status: STATUS.unavailable,
      kind: 'overloaded',
      execution: EXECUTION.notRun,
      retryAfterS: state.overloadGuard.retryAfterS(random()),
    };
    sendResponse(res, answer, state.closesConnections);
  }

  private async onRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const {deps} = this;
    const {state, clock, codec} = deps;
    const arrivedAtMs = clock.monotonicMs();
    this.active += 1;
    res.on('close', () => (this.active -= 1));
    res.on('error', () => res.destroy());
    if (arrivedAtMs - this.stoppingSinceMs > ACCEPT_AFTER_STOP_MS) {
      sendResponse(res, STOPPING, true);
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
      sendResponse(res, checked.err, state.closesConnections);
      return;
    }
    const context = checked.value;
    if (state.overloadGuard.shouldRefuse(context.customer ?? '', arrivedAtMs)) {
      this.refuseOverloaded(context, res);
      return;
    }
    const body = await readBody(req, context.config.limits.maxBodyBytes);
    if (await hasDisconnected(req.socket)) {
      deps.onCallerDisconnected();
      return;
    }
    if (body.ok) {
      Exchange.create(context, {req, res, body: body.value}, deps);
      return;
    }
    if (body.err.kind === 'too_large') {
      sendResponse(
        res,
        {
          status: STATUS.tooLarge,
          kind: 'too_large',
          execution: EXECUTION.notRun,
        },
        true
      );
      return;
    }
    res.destroy();
  }
}

/**
 * Whether the caller has gone. A request that waited long in the queue of
 * connections is read together with its caller's close, which the event loop
 * reports a turn later.
 */
async function hasDisconnected(socket: Socket): Promise<boolean> {
  for (let turn = 0; turn < CLOSE_DETECTION_TURNS; turn++) await setImmediate();
  return socket.destroyed || socket.readableEnded;
}
