/** A stand-in for an engine that writes streams, or answers plain requests. */
import http from 'node:http';

const FIRST_EVENT_MS = 20;
const EMPTY_CACHE = '{"epoch":1,"next":1,"held":[]}';

export class Engine {
  /** Incremented with each registration; begins anew at a restart. */
  seq = 0;
  version = 'v1';
  slots = 48;
  zone = 'hall-a';
  isUp = false;
  /** Whether its registrations reach the store. */
  reachesStore = true;
  /** Whether its registrations name its start. */
  namesStart = true;
  lastBeatMs = 0;
  sockets = new Set();
  /** Called with each request that it begins to work on: id, url, headers. */
  onRun = () => undefined;
  /** Writes the answer; by default a plain one. */
  respond = (engine, req, res) => engine.answer(req, res, 'done');

  constructor(id, service, store) {
    Object.assign(this, {id, service, store});
  }

  async start() {
    this.bornMs = Date.now();
    this.seq = 0;
    this.server = http.createServer((req, res) => this.serve(req, res));
    this.server.keepAliveTimeout = 10_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    await new Promise(resolve =>
      this.server.listen(this.port ?? 0, '127.0.0.1', resolve)
    );
    this.port = this.server.address().port;
    this.isUp = true;
    this.beat();
  }

  /** Ends at once: its connections are reset, and nothing listens any more. */
  crash() {
    this.isUp = false;
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  entry(state = 'ready') {
    const {service, port, zone, version, slots, bornMs, namesStart} = this;
    const address = `127.0.0.1:${port}`;
    const own = {service, address, zone, version, slots, state, coldLeftMs: 0};
    return namesStart
      ? {...own, born: bornMs, seq: this.seq++}
      : {...own, seq: this.seq++};
  }

  beat() {
    if (!this.isUp || !this.reachesStore || this.store.isAway) return;
    this.lastBeatMs = Date.now();
    this.store.put('keyed.servers', this.id, this.entry());
  }

  answer(req, res, body, status = 200, headers = {}) {
    if (res.destroyed) return;
    res.writeHead(status, {
      'Attempt-Id': String(req.headers['attempt-id']),
      'Response-Seal': `seal-${this.id}`,
      'Content-Length': Buffer.byteLength(body),
      ...headers,
    });
    res.end(body);
  }

  serve(req, res) {
    res.on('error', () => undefined);
    req.on('error', () => undefined);
    if (req.url.startsWith('/kv-list')) {
      res.end(EMPTY_CACHE);
      return;
    }
    const expected = req.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      const id = String(req.headers['attempt-id']);
      res.writeHead(421, {
        'Attempt-Id': id,
        'Instance-Id': this.id,
        'Content-Length': 0,
      });
      res.end();
      return;
    }
    req.resume();
    req.on('end', () => {
      this.onRun(String(req.headers['attempt-id']), req.url, req.headers);
      this.respond(this, req, res);
    });
  }
}

/**
 * Streams events up to `last`, from the one after `Last-Event-Id`, each with the
 * version of the engine that wrote it.
 */
export function streamEvents(last, intervalMs) {
  return (engine, req, res) => {
    let id = Number(req.headers['last-event-id'] ?? 0);
    res.writeHead(200, {
      'Attempt-Id': String(req.headers['attempt-id']),
      'Response-Seal': `seal-${engine.id}`,
      'Content-Type': 'text/event-stream',
    });
    res.flushHeaders();
    const {version} = engine;
    const write = () => {
      if (res.destroyed) return;
      id += 1;
      res.write(`id: ${id}\ndata: ${version} ${engine.id} piece ${id}\n\n`);
      if (id >= last) res.end();
      else setTimeout(write, intervalMs);
    };
    setTimeout(write, FIRST_EVENT_MS);
  };
}

/**
 * Renews the registrations, and removes those of engines that were silent for
 * three intervals, as the platform does. Returns what ends it.
 */
export function keepRegistered(engines, store, intervalMs = 1200) {
  const beats = engines.map(engine =>
    setInterval(() => engine.beat(), intervalMs)
  );
  const expiry = setInterval(() => {
    if (store.isAway) return;
    for (const {id, lastBeatMs} of engines) {
      const isSilent = Date.now() - lastBeatMs > 3 * intervalMs;
      if (!isSilent || store.newest('keyed.servers', id) === undefined)
        continue;
      store.put('keyed.servers', id, undefined);
    }
  }, 50);
  return () => [...beats, expiry].forEach(timer => clearInterval(timer));
}
