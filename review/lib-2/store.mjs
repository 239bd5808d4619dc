/**
 * A stand-in for the platform's metadata store: keyed topics in a log, reads that
 * wait, removals, and a restore from an older copy. Keeps all in memory.
 */
import http from 'node:http';

const POLL_MS = 5;
const MAX_PAGE_BYTES = 1024 * 1024;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** @typedef {{key: string, value: Buffer, atMs: number}} StoredRecord */

export class Store {
  /** @type {Map<string, StoredRecord[]>} */
  topics = new Map();
  copy = new Map();
  /** While set, connections are reset and nothing is served. */
  isAway = false;
  /** Value of `Store-Era`; undefined if the header is not sent. */
  era = undefined;
  sockets = new Set();
  /** Called with each append of a system's process: topic, key. */
  onAppend = () => undefined;
  /** Called with each response to a read: topic, from, end, process address. */
  onRead = () => undefined;

  static async create(host = '127.0.0.1') {
    const store = new Store();
    store.server = http.createServer((req, res) => void store.serve(req, res));
    store.server.on('connection', socket => {
      store.sockets.add(socket);
      socket.on('close', () => store.sockets.delete(socket));
      socket.on('error', () => undefined);
      if (store.isAway) socket.resetAndDestroy();
    });
    await new Promise(resolve => store.server.listen(0, host, resolve));
    store.port = store.server.address().port;
    return store;
  }

  topic(name) {
    if (!this.topics.has(name)) this.topics.set(name, []);
    return this.topics.get(name);
  }

  /** Appends a record; undefined removes the key. Returns the offset. */
  put(topic, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.topic(topic).push({key, value: Buffer.from(text), atMs: Date.now()});
    return this.topic(topic).length - 1;
  }

  end(topic) {
    return this.topic(topic).length;
  }

  newest(topic, key) {
    const record = this.topic(topic).findLast(r => r.key === key);
    return record === undefined || record.value.length === 0
      ? undefined
      : JSON.parse(record.value.toString());
  }

  saveCopy() {
    this.copy = new Map(
      [...this.topics].map(([name, all]) => [name, [...all]])
    );
  }

  /** Nothing is served from now on. */
  goAway() {
    this.isAway = true;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  comeBack() {
    this.isAway = false;
  }

  /** Goes back to the copy; what was written since is gone. */
  restoreCopy() {
    this.topics = new Map(
      [...this.copy].map(([name, all]) => [name, [...all]])
    );
    if (this.era !== undefined) this.era += 1;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(req, res) {
    const url = new URL(req.url, 'http://store');
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    if (this.isAway) {
      req.socket.resetAndDestroy();
      return;
    }
    const handler = {
      'GET /log-newest': this.serveNewest,
      'GET /log-read': this.serveRead,
      'POST /log-append': this.serveAppend,
    }[`${req.method} ${url.pathname}`];
    const name = url.searchParams.get('topic') ?? '';
    if (handler === undefined) {
      this.answer(res, 404, '{}');
      return;
    }
    await handler.call(
      this,
      name,
      url.searchParams,
      res,
      Buffer.concat(chunks),
      req
    );
  }

  answer(res, status, body, type = 'application/json') {
    if (res.destroyed || this.isAway) {
      res.destroy();
      return;
    }
    const headers = {
      'Content-Type': type,
      'Content-Length': Buffer.byteLength(body),
    };
    if (this.era !== undefined) headers['Store-Era'] = String(this.era);
    res.writeHead(status, headers).end(body);
  }

  serveNewest(name, query, res) {
    const newest = new Map();
    this.topic(name).forEach(({key, value}, offset) => {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {key, value: value.toString('base64'), offset});
    });
    const after = query.get('after') ?? '';
    const items = [...newest.values()]
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const end = this.end(name);
    this.answer(res, 200, JSON.stringify({items, hasMore: false, end}));
  }

  async serveRead(name, query, res, _body, req) {
    const from = Number(query.get('from'));
    const untilMs =
      Date.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    while (this.end(name) === from && Date.now() < untilMs) {
      if (res.closed || this.isAway) return;
      await sleep(POLL_MS);
    }
    if (from > this.end(name)) {
      this.answer(res, 410, JSON.stringify({first: 0}));
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(this.end(name)), 0);
    const frames = [head];
    let size = 0;
    for (const {key, value} of this.topic(name).slice(from)) {
      const keyBytes = Buffer.from(key);
      const length = Buffer.alloc(4);
      length.writeUInt32BE(1 + keyBytes.length + value.length);
      size += 5 + keyBytes.length + value.length;
      if (size > MAX_PAGE_BYTES) break;
      frames.push(length, Buffer.from([keyBytes.length]), keyBytes, value);
    }
    this.onRead(name, from, this.end(name), req.socket.remoteAddress);
    this.answer(res, 200, Buffer.concat(frames), 'application/octet-stream');
  }

  serveAppend(name, _query, res, body) {
    const offset = this.end(name);
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      const record = body.subarray(at + 4, at + 4 + length);
      const key = record.subarray(1, 1 + record[0]).toString();
      const value = Buffer.from(record.subarray(1 + record[0]));
      this.topic(name).push({key, value, atMs: Date.now()});
      this.onAppend(name, key);
      at += 4 + length;
    }
    this.answer(res, 200, JSON.stringify({offset, end: this.end(name)}));
  }
}
