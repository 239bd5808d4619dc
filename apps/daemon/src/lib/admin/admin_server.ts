import http from 'node:http';
import {errorMessage, listenWhenFree} from '@applebend/utils';

import type {Logger, Metrics} from '@applebend/telemetry';

/** Reasons why an instance is not ready; empty if it is. @public */
export type Unreadiness = readonly string[];

/** @public */
export interface AdminServerOptions {
  readonly host: string;
  readonly port: number;
  /** Ends the wait for the port. */
  readonly stopSignal?: AbortSignal;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly unreadiness: () => Unreadiness;
  readonly status: () => unknown;
  /** Updates the gauges; called before each read of the metrics. */
  readonly collect: () => void;
  readonly drain: () => void;
}

type AdminHandler = () => Promise<{status: number; type: string; body: string}>;

const JSON_TYPE = 'application/json';
/** Time for a whole request, which has hardly more than a path. */
const REQUEST_TIMEOUT_MS = 5000;
/** A connection on which nothing moves for this long is closed. */
const INACTIVITY_TIMEOUT_MS = 10_000;
const CHECK_INTERVAL_MS = 1000;

/** HTTP server for operators: health, readiness, metrics, status, drain. @public */
export class AdminServer {
  private readonly server: http.Server;
  private readonly routes: Readonly<Record<string, AdminHandler>>;

  private constructor(private readonly options: AdminServerOptions) {
    this.routes = {
      'GET /healthz': async () => json(200, {status: 'alive'}),
      'GET /readyz': async () => this.readyz(),
      'GET /metrics': async () => this.metrics(),
      'GET /status': async () => json(200, options.status()),
      'POST /drain': async () => this.drain(),
    };
    this.server = http.createServer(
      {
        headersTimeout: REQUEST_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
      },
      (req, res) => void this.serve(req, res)
    );
    this.server.setTimeout(INACTIVITY_TIMEOUT_MS);
  }

  static async create(options: AdminServerOptions): Promise<AdminServer> {
    const admin = new AdminServer(options);
    await listenWhenFree(admin.server, {...options, purpose: 'admin'});
    return admin;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    req.resume();
    res.on('error', () => res.destroy());
    const path = (req.url ?? '/').split('?', 1)[0];
    const {status, type, body} = await this.answer(`${req.method} ${path}`);
    res.writeHead(status, {'content-type': type});
    res.end(body);
  }

  /** A fault of a handler is logged, and does not end the process. */
  private async answer(route: string): ReturnType<AdminHandler> {
    const handler = this.routes[route];
    if (handler === undefined) {
      return json(404, {error: {type: 'unknown_path'}});
    }
    try {
      return await handler();
    } catch (err) {
      this.options.log.error('admin request fault', {
        route,
        cause: errorMessage(err),
      });
      return json(500, {error: {type: 'internal'}});
    }
  }

  private readyz() {
    const reasons = this.options.unreadiness();
    const ready = reasons.length === 0;
    return json(ready ? 200 : 503, {ready, reasons});
  }

  private async metrics() {
    this.options.collect();
    const {registry} = this.options.metrics;
    const body = await registry.metrics();
    return {status: 200, type: registry.contentType, body};
  }

  private drain() {
    setImmediate(() => this.options.drain());
    return json(202, {draining: true});
  }
}

function json(status: number, body: unknown) {
  return {status, type: JSON_TYPE, body: JSON.stringify(body)};
}
