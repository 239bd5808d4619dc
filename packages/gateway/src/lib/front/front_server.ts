/** The callers' side: accepts requests, checks them and starts exchanges. */
import http from 'node:http';
import {setImmediate} from 'node:timers/promises';
import {EXECUTION} from '../errors.js';
import {listenOn} from '../listen.js';
import {readBody} from './body_reader.js';
import {checkRequest} from './check_request.js';
import {Exchange} from './exchange.js';
import {noteUse} from './note_use.js';
import {STATUS, sendOwnAnswer} from './responses.js';

import type {Socket} from 'node:net';
import type {ListenAddress} from '../ports.js';
import type {ExchangeTools} from './exchange_tools.js';
import type {RequestContext} from './request_context.js';
import type {OwnAnswer} from './responses.js';

const MAX_HEADER_BYTES = 64 * 1024;
/** How often Node looks for connections past their header timeout. */
const CHECK_INTERVAL_MS = 1000;
/** Turns of the event loop after which a close that came along is known. */
const CLOSE_TURNS = 2;
/**
 * Connections that may wait to be accepted. A longer queue makes callers wait
 * where another instance would serve them.
 */
const BACKLOG = 128;
const DEFAULT_IDLE_MS = 15_000;
const DEFAULT_HEADER_MS = 5000;
/** Connections are closed a little later than their clients are told. */
const IDLE_MARGIN_MS = 1000;
/**
 * New work is refused when this time has gone since the stop signal, so that
 * what was taken has most of the grace period.
 */
const STOP_TAKING_MS = 2500;

const STOPPING: OwnAnswer = {
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

  private constructor(private readonly tools: ExchangeTools) {
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
      tools.state.callerConnections += 1;
      socket.on('close', () => (tools.state.callerConnections -= 1));
    });
  }

  /** Listens at once; resolves when the port is open. */
  static async create(
    tools: ExchangeTools,
    address: ListenAddress
  ): Promise<FrontServer> {
    const front = new FrontServer(tools);
    await listenOn(front.server, address, BACKLOG);
    return front;
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
  startStopping(): void {
    this.stoppingSinceMs = this.tools.clock.monotonicMs();
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
    const {state, random, onOverloaded} = this.tools;
    onOverloaded();
    noteUse(this.tools, context, false);
    const answer = {
      status: STATUS.unavailable,
      kind: 'overloaded',
      execution: EXECUTION.notRun,
      retryAfterS: state.overload.retryAfterS(random()),
    };
    sendOwnAnswer(res, answer, state.closesConnections);
  }

  private async onRequest(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const {tools} = this;
    const {state, clock, codec} = tools;
    const arrivedMs = clock.monotonicMs();
    this.active += 1;
    res.on('close', () => (this.active -= 1));
    res.on('error', () => res.destroy());
    if (arrivedMs - this.stoppingSinceMs > STOP_TAKING_MS) {
      sendOwnAnswer(res, STOPPING, true);
      return;
    }
    const checked = checkRequest(
      {
        host: req.headers.host ?? '',
        url: req.url ?? '/',
        caller: codec.decodeCallerRequest(req.rawHeaders),
        arrivedMs,
      },
      state
    );
    if (!checked.ok) {
      sendOwnAnswer(res, checked.err, state.closesConnections);
      return;
    }
    const context = checked.value;
    if (state.overload.shouldRefuse(context.customer ?? '', arrivedMs)) {
      this.refuseOverloaded(context, res);
      return;
    }
    const body = await readBody(req, context.config.limits.maxBodyBytes);
    if (await hasLeft(req.socket)) {
      tools.onLeftUnread();
      return;
    }
    if (body.ok) {
      Exchange.create(context, {req, res, body: body.value}, tools);
      return;
    }
    if (body.err.kind === 'too_large') {
      sendOwnAnswer(
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
async function hasLeft(socket: Socket): Promise<boolean> {
  for (let turn = 0; turn < CLOSE_TURNS; turn++) await setImmediate();
  return socket.destroyed || socket.readableEnded;
}
