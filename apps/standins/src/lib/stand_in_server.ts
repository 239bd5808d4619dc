/** What all stand-ins share: an HTTP server, faults and the control route. */
import http from 'node:http';
import {z} from 'zod';
import {errorMessage, Random, sleep} from '@applebend/utils';

import type {AddressInfo, Socket} from 'node:net';

const faultsSchema = z.strictObject({
  /** Every connection is closed at once. */
  down: z.boolean().default(false),
  /** Added before each answer, in milliseconds. */
  delayMs: z.number().min(0).default(0),
  /** Part of the requests that take effect and whose answer is lost. */
  loseAnswers: z.number().min(0).max(1).default(0),
  /** Addresses whose connections are closed at once. */
  cut: z.array(z.string()).default([]),
  /** Answers carry another request's id. */
  crossAnswers: z.boolean().default(false),
  /** Open streams are cut at their next token. */
  severStreams: z.boolean().default(false),
  /** Streams stop sending without an end. */
  stallStreams: z.boolean().default(false),
});

/** The faults that can be switched at run time. @public */
export type Faults = z.infer<typeof faultsSchema>;

/** One request with its body read. @public */
export interface StandInRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
}

/** Answers a request; `undefined` when it has answered by itself. @public */
export type Handler = (
  request: StandInRequest
) => Promise<StandInResponse | undefined>;

/** @public */
export interface StandInResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Where a stand-in listens, and the seed of its faults. @public */
export interface ServerOptions {
  readonly host: string;
  readonly port: number;
  readonly seed: number;
}

const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** @public */
export class StandInServer {
  faults: Faults = faultsSchema.parse({});
  private readonly server: http.Server;
  private readonly sockets = new Set<Socket>();
  private readonly random: Random;

  private constructor(
    private readonly options: ServerOptions,
    private readonly handler: Handler
  ) {
    this.random = Random.create(options.seed);
    this.server = http.createServer((req, res) => {
      this.serve(req, res).catch(err => {
        if (!res.headersSent) res.writeHead(500);
        res.end(errorMessage(err));
      });
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  static async create(
    options: ServerOptions,
    handler: Handler
  ): Promise<StandInServer> {
    const standIn = new StandInServer(options, handler);
    await new Promise<void>((resolve, reject) => {
      standIn.server.once('error', reject);
      standIn.server.listen(options.port, options.host, resolve);
    });
    return standIn;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  get url(): string {
    return `http://${this.options.host}:${this.port}`;
  }

  /** Stops at once, as a crash would. */
  async close(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private async serve(
    req: http.IncomingMessage,
    res: http.ServerResponse
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://stand-in');
    const body = await readBody(req);
    const method = req.method ?? 'GET';
    if (url.pathname === '/control') {
      this.faults = faultsSchema.parse(JSON.parse(body));
      return writeResponse(res, {status: 200, body: this.faults});
    }
    const from = req.socket.remoteAddress ?? '';
    if (this.faults.down || this.faults.cut.includes(from)) {
      req.socket.destroy();
      return;
    }
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    const {headers} = req;
    const response = await this.handler({method, url, headers, body, req, res});
    if (response === undefined) return;
    if (this.random.chance(this.faults.loseAnswers)) req.socket.destroy();
    else writeResponse(res, response);
  }
}

async function readBody(req: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) break;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function writeResponse(
  res: http.ServerResponse,
  response: StandInResponse
): void {
  const payload = JSON.stringify(response.body);
  res.writeHead(response.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
    ...response.headers,
  });
  res.end(payload);
}
