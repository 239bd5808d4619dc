import http from 'node:http';
import {z} from 'zod';
import {errorMessage, Random, sleep} from '@applebend/utils';

import type {AddressInfo, Socket} from 'node:net';

const faultsSchema = z.strictObject({
  /** Closes every connection on its next request. */
  down: z.boolean().default(false),
  /** Delay before each request is handled. */
  delayMs: z.number().min(0).default(0),
  /** Fraction of requests that take effect but get no response. */
  loseAnswers: z.number().min(0).max(1).default(0),
  /** Closes connections from these addresses on their next request. */
  cut: z.array(z.string()).default([]),
  /** Engine responses carry a wrong request id. */
  crossAnswers: z.boolean().default(false),
  /** Closes the connection of a stream at its next token. */
  severStreams: z.boolean().default(false),
  /** Streams send nothing more but stay open. */
  stallStreams: z.boolean().default(false),
});

/** Faults that can be switched on at run time through `/control`. @public */
export type Faults = z.infer<typeof faultsSchema>;

/** A request whose body has been read. @public */
export interface StandInRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
}

/**
 * Handles a request. Returns `undefined` if it writes the response itself.
 * @public
 */
export type Handler = (
  request: StandInRequest
) => Promise<StandInResponse | undefined>;

/** A response; `body` is sent as JSON. @public */
export interface StandInResponse {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Address of a stand-in, and the seed of its random faults. @public */
export interface ServerOptions {
  readonly host: string;
  readonly port: number;
  readonly seed: number;
}

const MAX_BODY_BYTES = 32 * 1024 * 1024;

/**
 * The HTTP server that all stand-ins share. It applies the faults and handles
 * `/control`, which replaces them and works in spite of them.
 * @public
 */
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

  /** Stops the server and breaks open connections, as a crash would. */
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
