import {errorMessage, startInternalServer} from '@applebend/utils';

import type http from 'node:http';
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

/** HTTP server for operators: health, readiness, metrics, status, drain. @public */
export class AdminServer {
  private server!: http.Server;
  private readonly routes: Readonly<Record<string, AdminHandler>>;

  private constructor(private readonly options: AdminServerOptions) {
    this.routes = {
      'GET /healthz': async () => json(200, {status: 'alive'}),
      'GET /readyz': async () => this.readyz(),
      'GET /metrics': async () => this.metrics(),
      'GET /status': async () => json(200, options.status()),
      'POST /drain': async () => this.drain(),
    };
  }

  static async create(options: AdminServerOptions): Promise<AdminServer> {
    const admin = new AdminServer(options);
    const port = {...options, purpose: 'admin'};
    admin.server = await startInternalServer(port, (req, res) =>
      admin.serve(req, res)
    );
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
