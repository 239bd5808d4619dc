import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {mock, test} from 'node:test';
import {StreamRelay} from './stream_relay.js';

import type http from 'node:http';
import type {TargetResponse} from '../upstream/target_call.js';

const STALL_TIMEOUT_MS = 1000;

/** A relay to a caller whose connection takes no more than one event. */
function relayToSlowCaller() {
  const events = {stalls: 0};
  const caller = new PassThrough({highWaterMark: 1});
  const res = Object.assign(caller, {headersSent: true});
  const relay = StreamRelay.create(res as unknown as http.ServerResponse, {
    stallTimeoutMs: STALL_TIMEOUT_MS,
    onDone: () => undefined,
    onAborted: () => undefined,
    onEvents: () => undefined,
    onStall: () => (events.stalls += 1),
    contain: handler => handler,
  });
  const target = new PassThrough();
  const response = {res: target, status: 200, head: {headers: []}};
  relay.attach(response as unknown as TargetResponse, false);
  return {caller, events, relay, target};
}

/** Lets the streams pass on what they hold. */
const settle = () => new Promise(resolve => setImmediate(resolve));

test('a caller that does not read makes no target count as stalled', async () => {
  mock.timers.enable({apis: ['setInterval']});
  const {caller, events, relay, target} = relayToSlowCaller();
  try {
    target.write('id: 1\ndata: piece 1\n\n');
    await settle();
    mock.timers.tick(3 * STALL_TIMEOUT_MS);
    assert.equal(events.stalls, 0);
    caller.resume();
    await settle();
    mock.timers.tick(STALL_TIMEOUT_MS);
    assert.equal(events.stalls, 1, 'silent after the caller has read on');
  } finally {
    relay.detach();
    mock.timers.reset();
  }
});
