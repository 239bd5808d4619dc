import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SLOT_OUTCOME} from '@applebend/core';
import {decodeMessages, encodeFrame, encodeMessages} from './codec.js';

import type {PeerMessage} from './messages.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 500);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);

const id = fc.string({minLength: 1, maxLength: 20});
const integer = fc.nat(1_000_000);

const announcement = fc.record({
  requestId: id,
  customer: id,
  className: id,
  estimate: integer,
  fingerprint: id,
  affinity: fc.nat(0xffff),
  avoid: fc.array(id, {maxLength: 3}),
  waitedMs: integer,
});

const times = fc.option(
  fc.record({firstTokenMs: integer, betweenTokensMs: integer}),
  {nil: undefined}
);

const entryMessage = fc.oneof(
  fc.record({
    type: fc.constant('sync' as const),
    cell: id,
    waiting: fc.array(announcement, {maxLength: 4}),
    held: fc.array(
      fc.record({grantId: id, target: id, announcement, charged: integer}),
      {maxLength: 3}
    ),
    marks: fc.array(fc.record({customer: id, service: integer})),
  }),
  fc.record({type: fc.constant('leave' as const), cell: id}),
  fc.record({type: fc.constant('enqueue' as const), cell: id, announcement}),
  fc.record({
    type: fc.constant('withdraw' as const),
    cell: id,
    requestId: id,
  }),
  fc.record({
    type: fc.constant('progress' as const),
    cell: id,
    grantId: id,
    cost: integer,
  }),
  fc.record({
    type: fc.constant('finished' as const),
    cell: id,
    grantId: id,
    outcome: fc.constantFrom(...Object.values(SLOT_OUTCOME)),
    cost: integer,
    times,
  })
);

const dispatcherMessage = fc.oneof(
  fc.record({type: fc.constant('resync' as const), cell: id}),
  fc.record({
    type: fc.constant('grant' as const),
    cell: id,
    requestId: id,
    grantId: id,
    target: id,
    echoMs: integer,
    leaseMs: integer,
    service: integer,
  }),
  fc.record({
    type: fc.constant('refuse' as const),
    cell: id,
    requestId: id,
    reason: fc.constantFrom('queue_full' as const, 'quarantined' as const),
    retryAfterMs: integer,
  })
);

/** Any message but `config_state`, whose snapshot is passed on as it is. */
const peerMessage: fc.Arbitrary<PeerMessage> = fc.oneof(
  fc.record({
    type: fc.constant('to_dispatcher' as const),
    sentAtMs: integer,
    message: entryMessage,
  }),
  fc.record({
    type: fc.constant('to_entry' as const),
    message: dispatcherMessage,
  }),
  fc.record({
    type: fc.constant('heartbeat' as const),
    sentAtMs: integer,
    state: fc.record({
      ready: fc.boolean(),
      draining: fc.boolean(),
      revision: integer,
      leavingTargets: fc.array(id, {maxLength: 3}),
    }),
  }),
  fc.constantFrom(
    {type: 'goodbye' as const},
    {type: 'config_request' as const}
  ),
  fc.record({
    type: fc.constant('loss' as const),
    loss: fc.record({fingerprint: id, target: id, seenAtMs: integer}),
  })
);

/** Removes prototypes and undefined fields, which are not encoded. */
function toPlainJson(messages: readonly PeerMessage[]): unknown {
  return JSON.parse(JSON.stringify(messages));
}

test('wire fuzz: decoding returns the encoded messages', () => {
  fc.assert(
    fc.property(fc.array(peerMessage, {maxLength: 8}), messages => {
      const decoded = decodeMessages(encodeMessages(messages));
      assert.ok(decoded.ok, decoded.ok ? '' : decoded.err.message);
      assert.deepEqual(toPlainJson(decoded.value), toPlainJson(messages));
    }),
    {numRuns: RUNS, seed: SEED}
  );
});

test('wire fuzz: malformed frames return a malformed_frame error', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 200}), bytes => {
      const decoded = decodeMessages(bytes);
      if (!decoded.ok) assert.equal(decoded.err.kind, 'malformed_frame');
    }),
    {numRuns: RUNS, seed: SEED}
  );
  const nested = fc.array(fc.array(fc.anything({maxDepth: 2})));
  fc.assert(
    fc.property(nested, value => {
      const decoded = decodeMessages(
        encodeFrame(JSON.parse(JSON.stringify(value)))
      );
      if (!decoded.ok) assert.equal(decoded.err.kind, 'malformed_frame');
    }),
    {numRuns: RUNS, seed: SEED}
  );
});
