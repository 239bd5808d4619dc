/**
 * A stand-in for the platform's store: keyed topics with one partition, kept in
 * memory. It follows PROTOCOL.md: `/log-append`, `/log-read` (`from`, `maxKb`
 * with the default 1,024, `waitMs`), `/log-newest` (at most 500 items or 1 MB a
 * page). Each instance has a door (a port) of its own, so that the store can
 * turn one machine away and serve the others.
 */
import http from 'node:http';

const OFFSET_BYTES = 8;
const LENGTH_BYTES = 4;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const DEFAULT_MAX_KB = 1024;
const ANSWER_MS = 4;
const STATUS = {ok: 200, notFound: 404, gone: 410, unavailable: 503};

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export class Store {
  topics = new Map();
  doors = [];
  waiting = new Set();
  /** Named in all answers; rises by one with each restore from a copy. */
  era = 1;
  copy = new Map();

  /** Opens a door; `isOpen` is false while the store turns its caller away. */
  async openDoor(host) {
    const door = {isOpen: true, host, port: 0, refused: 0};
    const server = http.createServer((req, res) => {
      void this.serve(door, req, res);
    });
    server.keepAliveTimeout = 30_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    door.port = server.address().port;
    door.server = server;
    this.doors.push(door);
    return door;
  }

  close() {
    for (const {server} of this.doors) {
      server.close();
      server.closeAllConnections();
    }
  }

  topic(name) {
    let topic = this.topics.get(name);
    if (topic === undefined) this.topics.set(name, (topic = []));
    return topic;
  }

  /** Copies the present records, for `restoreCopy`. */
  saveCopy() {
    this.copy = new Map();
    for (const [name, records] of this.topics)
      this.copy.set(name, [...records]);
  }

  /** Goes back to the copy; what was written since is gone. */
  restoreCopy() {
    this.topics = new Map(this.copy);
    this.era += 1;
    for (const {server} of this.doors) server.closeAllConnections();
  }

  /** Appends a record; an undefined value removes the key. */
  put(topic, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.topic(topic).push({key, value: Buffer.from(text)});
    for (const wake of this.waiting) wake();
  }

  remove(topic, key) {
    this.put(topic, key, undefined);
  }

  async serve(door, req, res) {
    const chunks = [];
    try {
      for await (const chunk of req) chunks.push(chunk);
    } catch {
      return;
    }
    await sleep(ANSWER_MS);
    res.setHeader('Store-Era', String(this.era));
    if (!door.isOpen) {
      door.refused += 1;
      res.writeHead(STATUS.unavailable, {'Content-Length': 0}).end();
      return;
    }
    const url = new URL(req.url, 'http://store');
    const records = this.topic(url.searchParams.get('topic') ?? '');
    const body = Buffer.concat(chunks);
    if (url.pathname === '/log-append') this.append(records, body, res);
    else if (url.pathname === '/log-newest') {
      this.newest(records, url.searchParams, res);
    } else if (url.pathname === '/log-read') {
      await this.read(door, records, url.searchParams, res);
    } else res.writeHead(STATUS.notFound).end();
  }

  append(records, body, res) {
    const offset = records.length;
    let at = 0;
    while (at + LENGTH_BYTES <= body.length) {
      const length = body.readUInt32BE(at);
      const record = body.subarray(
        at + LENGTH_BYTES,
        at + LENGTH_BYTES + length
      );
      const keyEnd = 1 + record[0];
      const key = record.subarray(1, keyEnd).toString();
      records.push({key, value: Buffer.from(record.subarray(keyEnd))});
      at += LENGTH_BYTES + length;
    }
    for (const wake of this.waiting) wake();
    answerJson(res, {offset, end: records.length});
  }

  newest(records, query, res) {
    const newest = new Map();
    for (const [offset, {key, value}] of records.entries()) {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, {key, value: value.toString('base64'), offset});
    }
    const after = query.get('after') ?? '';
    const rest = [...newest.values()]
      .filter(({key}) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const item of rest) {
      bytes += item.value.length;
      const isFull = items.length === MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES;
      if (items.length > 0 && isFull) break;
      items.push(item);
    }
    const hasMore = items.length < rest.length;
    answerJson(res, {items, hasMore, end: records.length});
  }

  /** First the end and the first retained offset, then records up to `maxKb`. */
  async read(door, records, query, res) {
    const from = Number(query.get('from'));
    const maxBytes = 1024 * Number(query.get('maxKb') ?? DEFAULT_MAX_KB);
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    if (from > records.length) {
      res.writeHead(STATUS.gone, {'Content-Type': 'application/json'});
      res.end(JSON.stringify({first: 0}));
      return;
    }
    while (records.length <= from && !res.closed) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0) break;
      await this.nextRecord(leftMs);
    }
    if (!door.isOpen) {
      res.writeHead(STATUS.unavailable, {'Content-Length': 0}).end();
      return;
    }
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const parts = [head];
    let bytes = 0;
    for (const {key, value} of records.slice(from)) {
      const frame = frameOf(key, value);
      bytes += frame.length;
      if (parts.length > 1 && bytes > maxBytes) break;
      parts.push(frame);
    }
    const page = Buffer.concat(parts);
    res.writeHead(STATUS.ok, {'Content-Length': page.length}).end(page);
  }

  nextRecord(maxMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, maxMs);
      this.waiting.add(wake);
    });
  }
}

function frameOf(key, value) {
  const keyBytes = Buffer.from(key);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(1 + keyBytes.length + value.length);
  return Buffer.concat([
    length,
    Buffer.from([keyBytes.length]),
    keyBytes,
    value,
  ]);
}

function answerJson(res, value) {
  const text = JSON.stringify(value);
  res.writeHead(STATUS.ok, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  res.end(text);
}
