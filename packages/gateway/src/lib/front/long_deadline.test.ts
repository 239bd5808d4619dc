/** Guards against a timer whose delay overflows, which Node runs at once. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {test} from 'node:test';
import {BodyMemory} from '@applebend/routing';
import {containFaults, sleep} from '@applebend/utils';
import {readBody} from './body_reader.js';
import {ExchangeWaits} from './exchange_waits.js';

import type {IncomingMessage} from 'node:http';
import type {ExchangeDeps} from './exchange_deps.js';
import type {RequestContext} from './request_context.js';

/** One more than the longest delay of a timer in Node. */
const OVERFLOW_MS = 2 ** 31;
/** An overflowing timer runs after 1 ms. */
const WAIT_MS = 50;

const contain = containFaults(err => assert.fail(String(err)));

test('a deadline beyond the longest timer does not pass at once', async () => {
  const context = {} as RequestContext;
  const waits = ExchangeWaits.create(context, {} as ExchangeDeps, contain);
  let hasPassed = false;
  waits.startDeadline(OVERFLOW_MS, () => (hasPassed = true));
  await sleep(WAIT_MS);
  waits.end();
  assert.equal(hasPassed, false);
});

test('a body whose deadline is beyond the longest timer is read', async () => {
  const headers = {'content-length': '1'};
  const req = Object.assign(new EventEmitter(), {headers});
  const read = readBody(req as unknown as IncomingMessage, {
    maxBytes: 10,
    leftMs: OVERFLOW_MS,
    claim: () => BodyMemory.create(100).claim('one'),
  });
  await sleep(WAIT_MS);
  req.emit('data', Buffer.from('x'));
  req.emit('end');
  const body = await read;
  assert.ok(body.ok);
  assert.equal(body.value?.bytes.toString(), 'x');
});
