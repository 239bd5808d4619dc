/** Guards against log lines that get lost, or errors that nobody handles. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Writable} from 'node:stream';
import {Logger} from './logger.js';

/** Like a standard stream, it can be written to again after an error. */
class FakeStream extends Writable {
  readonly lines: string[] = [];
  failure: string | undefined;

  override _destroy(
    err: Error | null,
    callback: (err: Error | null) => void
  ): void {
    callback(err);
    (this as unknown as {_undestroy(): void})._undestroy();
  }

  override _write(
    chunk: Buffer,
    _encoding: string,
    callback: (err?: Error) => void
  ): void {
    if (this.failure === undefined) {
      this.lines.push(chunk.toString());
      callback();
      return;
    }
    const err = new Error(`${this.failure}: write`);
    callback(Object.assign(err, {code: this.failure}));
  }
}

function createLogger() {
  const stream = new FakeStream();
  const fallback = new FakeStream();
  const target = stream as unknown as NodeJS.WriteStream;
  const other = fallback as unknown as NodeJS.WriteStream;
  const log = Logger.create('info', {instance: 'a'}, target, other);
  return {stream, fallback, log};
}

const settle = () => new Promise(resolve => setImmediate(resolve));

for (const failure of ['ENOSPC', 'EIO', 'EAGAIN', 'EPIPE']) {
  test(`lines that fail with ${failure} go to the other stream`, async () => {
    const {stream, fallback, log} = createLogger();
    stream.failure = failure;
    log.info('first');
    await settle();
    log.info('second');
    await settle();
    const events = fallback.lines.map(line => JSON.parse(line));
    assert.deepEqual(
      events.map(({event}) => event),
      ['log output failed', 'first', 'second']
    );
    assert.equal(events[0].code, failure);
  });
}

test('lines that are the same are all written', async () => {
  const {stream, log} = createLogger();
  for (let i = 0; i < 20; i++) log.info('same', {customer: 'kpone'});
  await settle();
  assert.equal(stream.lines.length, 20);
});

test('a destroyed stream does not lose lines', async () => {
  const fallback = new FakeStream();
  const stream = new Writable({write: (_chunk, _encoding, done) => done()});
  stream.destroy();
  const target = stream as unknown as NodeJS.WriteStream;
  const other = fallback as unknown as NodeJS.WriteStream;
  const log = Logger.create('info', {}, target, other);
  log.info('first');
  await settle();
  assert.match(fallback.lines.join(''), /"event":"first"/);
});

test('lines that no stream takes are counted in the next one', async () => {
  const {stream, fallback, log} = createLogger();
  stream.failure = 'ENOSPC';
  fallback.failure = 'ENOSPC';
  for (const event of ['first', 'second', 'third']) {
    log.info(event);
    await settle();
  }
  assert.deepEqual(fallback.lines, []);
  fallback.failure = undefined;
  log.info('fourth');
  await settle();
  log.info('fifth');
  await settle();
  const lines = fallback.lines.map(line => JSON.parse(line));
  assert.deepEqual(
    lines.map(({event, droppedLines}) => [event, droppedLines]),
    [
      ['fourth', 3],
      ['fifth', undefined],
    ]
  );
});
