/**
 * A stand-in for a server of a service (PROTOCOL.md, "Engines"): it registers
 * itself in the store, answers `Expect-Instance` with 421 if it is another one,
 * echoes `Attempt-Id` and signs what it answers. A request runs from its arrival.
 */
import http from 'node:http';

const HEARTBEAT_MS = 1200;
const STATUS = {ok: 200, invalid: 400, misdirected: 421, unavailable: 503};

let startCount = 0;

export class Engine {
  state = 'ready';
  seq = 0;
  stopped = false;

  /** @param handler - `(run) => void`, answers one request that runs */
  constructor(options) {
    const {store, id, service, version = 'v1', zone = 'hall-a'} = options;
    Object.assign(this, {store, id, service, version, zone});
    this.handler = options.handler;
    this.record = options.record;
    this.slots = options.slots ?? 16;
    this.host = options.host;
    startCount += 1;
    this.born = Date.now() + startCount;
    this.server = http.createServer((req, res) => void this.serve(req, res));
    this.server.keepAliveTimeout = 30_000;
  }

  static async start(options) {
    const engine = new Engine(options);
    await new Promise(resolve => {
      engine.server.listen(0, options.host, resolve);
    });
    engine.port = engine.server.address().port;
    engine.register();
    engine.timer = setInterval(() => engine.register(), HEARTBEAT_MS);
    return engine;
  }

  register() {
    this.seq += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      born: this.born,
      seq: this.seq,
    });
  }

  /** Says that it leaves; it serves on until `close`. */
  drain() {
    this.state = 'draining';
    this.register();
  }

  /** Removes the entry and ends. */
  close() {
    if (this.stopped) return;
    this.stopped = true;
    clearInterval(this.timer);
    this.store.remove('keyed.servers', this.id);
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(req, res) {
    const {headers, method, url} = req;
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    res.on('error', () => undefined);
    if (url === '/kv-list') {
      res.end(JSON.stringify({epoch: 1, next: 1, held: []}));
      return;
    }
    const attemptId = headers['attempt-id'];
    const expected = headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(STATUS.misdirected, {
        'Instance-Id': this.id,
        'Content-Length': 0,
      });
      res.end();
      return;
    }
    if (attemptId === undefined) {
      res.writeHead(STATUS.invalid, {'Not-Executed': '1', 'Content-Length': 0});
      res.end();
      return;
    }
    const run = {engine: this, req, res, attemptId, method, url, headers};
    run.body = Buffer.concat(chunks).toString();
    run.signature = {
      'Attempt-Id': attemptId,
      'Response-Seal': `seal.${this.id}`,
    };
    this.record('runs', {
      attempt: attemptId,
      engine: this.id,
      service: this.service,
      version: this.version,
      method,
      url,
      tenant: headers['tenant'],
      lastEventId: headers['last-event-id'],
    });
    this.handler(run);
  }
}

/** Answers with a body of its own after some time. */
export function answerAfter(workMs) {
  return ({engine, res, signature, url}) => {
    setTimeout(() => {
      const body = `${engine.service} ${engine.id} ${url}`;
      if (res.closed) return;
      res.writeHead(STATUS.ok, {
        ...signature,
        'Content-Type': 'text/plain',
        'Content-Length': Buffer.byteLength(body),
      });
      res.end(body);
    }, workMs);
  };
}

/** Streams events, from the one after `Last-Event-Id` to the last one. */
export function streamEvents(count, gapMs) {
  return ({engine, res, signature, headers}) => {
    let id = Number(headers['last-event-id'] ?? 0);
    res.writeHead(STATUS.ok, {
      ...signature,
      'Content-Type': 'text/event-stream',
    });
    const timer = setInterval(() => {
      id += 1;
      if (res.closed) {
        clearInterval(timer);
        return;
      }
      res.write(`id: ${id}\ndata: ${engine.version} piece ${id}\n\n`);
      if (id < count) return;
      clearInterval(timer);
      res.end();
    }, gapMs);
  };
}
