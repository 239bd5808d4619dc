import http from 'node:http';
import {admit} from './admission.js';
import {Caller} from './caller.js';
import {notRun, refusal} from './refusals.js';
import {RequestRunner} from './request_runner.js';
import {errorMessage, listenWhenFree} from '@applebend/utils';

import type {Socket} from 'node:net';
import type {Refusal} from '@applebend/core';
import type {Logger, Metrics, Tracing} from '@applebend/telemetry';
import type {Settings} from '../settings/settings.js';
import type {AdmissionOptions} from './admission.js';
import type {RequestRunnerDeps} from './request_runner.js';

/** @public */
export interface EntryServerOptions {
  readonly settings: Settings;
  readonly incarnation: string;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly admission: AdmissionOptions;
  readonly runner: RequestRunnerDeps;
  /** Ends the wait for the port. */
  readonly stopSignal?: AbortSignal;
  /** Whether requests can be served; if not, they are refused. */
  readonly ready: () => boolean;
}

const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const CLOSE_IDLE_INTERVAL_MS = 200;
const ID_RADIX = 36;

/** HTTP server that accepts the requests of callers. @public */
export class EntryServer {
  private readonly server: http.Server;
  private sequence = 0;
  private openCount = 0;
  private draining = false;

  private constructor(private readonly options: EntryServerOptions) {
    const {limits} = options.settings;
    this.server = http.createServer(
      {
        maxHeaderSize: limits.max_header_bytes,
        headersTimeout: limits.request_timeout_ms,
        requestTimeout: limits.request_timeout_ms,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connectionsCheckingInterval: limits.request_timeout_ms / 2,
      },
      (req, res) => void this.serve(req, res)
    );
    this.server.on('clientError', (err, socket) => {
      refuseMalformed(err, socket as Socket);
    });
  }

  static async create(options: EntryServerOptions): Promise<EntryServer> {
    const entry = new EntryServer(options);
    const {settings, log, stopSignal} = options;
    await listenWhenFree(entry.server, {
      ...settings.listen.caller,
      purpose: 'callers',
      log,
      stopSignal,
    });
    return entry;
  }

  /** Number of requests that have not ended. */
  get openRequests(): number {
    return this.openCount;
  }

  /**
   * Closes each connection after its next response, so that callers send
   * further requests to other instances.
   */
  startDraining(): void {
    this.draining = true;
  }

  /** Stops accepting connections; resolves when all requests have ended. */
  async closeWhenIdle(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    const timer = setInterval(
      () => this.server.closeIdleConnections(),
      CLOSE_IDLE_INTERVAL_MS
    );
    this.server.closeIdleConnections();
    await closed;
    clearInterval(timer);
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    this.sequence += 1;
    const number = this.sequence.toString(ID_RADIX);
    const requestId = `${this.options.incarnation}${number}`;
    if (this.draining) res.setHeader('connection', 'close');
    const {slow_caller_timeout_ms: slowMs} = this.options.settings.limits;
    const caller = Caller.create(requestId, req, res, slowMs);
    const log = this.options.log.withFields({requestId});
    this.openCount += 1;
    try {
      await this.handle(caller, log);
    } catch (err) {
      log.error('request_failed', {reason: errorMessage(err)});
      caller.refuse(refusal('internal', 'a fault of the router', 'unknown'));
    } finally {
      this.openCount -= 1;
      // Discards a body that was not read to its end.
      if (!req.complete) req.resume();
    }
  }

  private async handle(caller: Caller, log: Logger): Promise<void> {
    const unavailable = this.checkAvailability();
    if (unavailable !== undefined) return this.refuse(caller, unavailable, log);
    const trace = this.options.tracing.startRequestTrace(
      'entry',
      caller.req.headers
    );
    const admitted = await admit(caller, this.options.admission);
    if (!admitted.ok) {
      trace.end(admitted.err.kind);
      return this.refuse(caller, admitted.err, log);
    }
    const {runner} = this.options;
    await RequestRunner.create(runner, admitted.value, trace, log).run();
  }

  private checkAvailability(): Refusal | undefined {
    if (!this.options.ready()) {
      return notRun('not_ready', 'this instance has no configuration yet');
    }
    if (this.openCount > this.options.settings.limits.max_open_requests) {
      return notRun('overloaded', 'this instance has too many requests');
    }
    return undefined;
  }

  private refuse(caller: Caller, refused: Refusal, log: Logger): void {
    const {kind, ran} = refused;
    this.options.metrics.refusals.inc({kind, ran});
    log.info('refused', {kind, ran});
    caller.refuse(refused);
  }
}

/** Sends an error response to malformed HTTP and closes the socket. */
function refuseMalformed(err: Error & {code?: string}, socket: Socket): void {
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const tooLarge = err.code === 'HPE_HEADER_OVERFLOW';
  const body = JSON.stringify({
    error: {type: 'bad_request', message: 'malformed request', ran: 'not_run'},
  });
  const status = tooLarge
    ? '431 Request Header Fields Too Large'
    : '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\n` +
      'Content-Type: application/json\r\n' +
      `Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  );
}
