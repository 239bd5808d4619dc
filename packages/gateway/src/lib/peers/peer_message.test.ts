import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';
import {
  decodeAggregate,
  encodeAggregate,
  AGGREGATE_SCOPE,
} from './aggregate_message.js';
import {MESSAGE_KIND, unpackMessage} from './wire_rows.js';

const count = fc.integer({min: 0, max: 2_000_000});
const id = fc.string({minLength: 1, maxLength: 12});

const rows = {
  loads: fc.array(
    fc.record({
      target: id,
      running: count,
      prefillTokens: count,
      kvTokens: count,
    }),
    {maxLength: 6}
  ),
  usage: fc.array(
    fc.record({
      pool: fc.constantFrom('', 'app'),
      customer: id,
      requested: count,
      admitted: count,
    }),
    {
      maxLength: 6,
    }
  ),
  placements: fc.array(
    fc.record({
      target: id,
      blocks: fc.array(fc.record({id, tokens: count}), {maxLength: 4}),
      isCacheMiss: fc.boolean(),
    }),
    {maxLength: 6}
  ),
  notices: fc.array(
    fc.oneof(
      fc.record({
        kind: fc.constant('departure' as const),
        departure: fc.record({
          kind: fc.constantFrom('leaving' as const, 'removed' as const),
          target: fc.record({id, startedAtMs: count}),
          storeEra: count,
        }),
      }),
      fc.record({
        kind: fc.constant('pause' as const),
        target: id,
        pauseMs: count,
      }),
      fc.record({
        kind: fc.constant('loss' as const),
        loss: fc.record({
          fingerprint: id,
          target: id,
          seenAtMs: count,
          hasProgressed: fc.boolean(),
          blocks: fc.array(id, {maxLength: 4}),
        }),
      }),
      fc.record({
        kind: fc.constant('quarantine' as const),
        quarantine: fc.record({fingerprint: id, losses: count, leftMs: count}),
      }),
      fc.record({
        kind: fc.constant('limit' as const),
        target: id,
        limitPerS: fc.oneof(fc.constant(Infinity), count),
      }),
      fc.record({kind: fc.constant('refused' as const), target: id}),
      fc.record({
        kind: fc.constant('survivals' as const),
        survivals: fc.array(fc.record({key: id, ageMs: count}), {
          maxLength: 5,
        }),
      }),
      fc.record({
        kind: fc.constant('unresolved' as const),
        runs: fc.array(
          fc.record({
            target: id,
            fingerprint: id,
            endedAtMs: count,
            hasProgressed: fc.boolean(),
          }),
          {maxLength: 5}
        ),
      }),
      fc.record({
        kind: fc.constant('version' as const),
        seen: fc.record({service: id, version: id, ageMs: count}),
      }),
      fc.record({
        kind: fc.constant('streams' as const),
        version: id,
        attempts: fc.array(fc.maxSafeNat(), {maxLength: 5}),
      }),
      fc.record({kind: fc.constant('journal_saved' as const), instance: id})
    ),
    {maxLength: 4}
  ),
};

const message = fc.record({
  instance: id,
  incarnation: count,
  sequence: count,
  leaving: fc.boolean(),
  targetList: fc.record({
    key: count,
    ageMs: count,
    next: fc.option(count, {nil: undefined}),
  }),
  storeEra: count,
  configVersion: count,
  isConfigConfirmed: fc.boolean(),
  sentAtMs: count,
  ...rows,
});

const aggregate = fc.record({
  scope: fc.constantFrom(AGGREGATE_SCOPE.group, AGGREGATE_SCOPE.rest),
  instance: id,
  incarnation: count,
  sequence: count,
  group: count,
  instanceCount: count,
  isFull: fc.boolean(),
  ...rows,
});

test('a decoded message equals the encoded one', () => {
  fc.assert(
    fc.property(message, sent => {
      const wire = unpackMessage(encodePeerMessage(sent)) ?? [];
      assert.deepEqual(decodePeerMessage(wire), structuredClone(sent));
    })
  );
  fc.assert(
    fc.property(aggregate, sent => {
      const wire = unpackMessage(encodeAggregate(sent)) ?? [];
      assert.deepEqual(decodeAggregate(wire), structuredClone(sent));
    })
  );
});

test('bytes that are not a message are rejected without an exception', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 80}), bytes => {
      const wire = unpackMessage(Buffer.from(bytes)) ?? [];
      assert.equal(decodePeerMessage(wire), undefined);
      assert.equal(decodeAggregate(wire), undefined);
    })
  );
});

test('a message whose rows are malformed is rejected without an exception', () => {
  const value = fc.oneof(
    count,
    id,
    fc.constantFrom(null, true, [], {}),
    fc.array(fc.oneof(count, id, fc.constant(null)), {maxLength: 4})
  );
  const lists = fc.array(fc.array(value, {maxLength: 3}), {maxLength: 6});
  fc.assert(
    fc.property(lists, rowLists => {
      const head = ['entry-1', 1, 1, false, 0, 0];
      decodePeerMessage([MESSAGE_KIND.peer, ...head, ...rowLists]);
      const aggregateHead = ['group', 'entry-1', 1, 1, 0, 8, true];
      decodeAggregate([MESSAGE_KIND.aggregate, ...aggregateHead, ...rowLists]);
    })
  );
});

test('a message without notices, as older instances send it, is read', () => {
  const wire = [MESSAGE_KIND.peer, 'entry-1', 1, 1, false, 0, 0, [], [], []];
  const decoded = decodePeerMessage(wire);
  assert.deepEqual(decoded?.notices, []);
  assert.equal(decoded?.storeEra, 0);
});

test('a message with an amount that is no number makes no total NaN', () => {
  const rowLists = [[], [], [], []];
  for (const bad of [NaN, 'x', null, undefined]) {
    const wire = ['entry-1', 1, 1, false, bad, 0, ...rowLists];
    assert.equal(decodePeerMessage([MESSAGE_KIND.peer, ...wire]), undefined);
    for (const [group, instances] of [
      [bad, 8],
      [0, bad],
    ]) {
      const head = ['group', 'entry-1', 1, 1, group, instances, true];
      const aggregateWire = [MESSAGE_KIND.aggregate, ...head, ...rowLists];
      assert.equal(decodeAggregate(aggregateWire), undefined);
    }
  }
  const loads = [['t', NaN, 0, 0]];
  const head = [MESSAGE_KIND.peer, 'entry-1', 1, 1, false, 0, 0];
  assert.equal(decodePeerMessage([...head, loads, [], [], []]), undefined);
});

test('usage rows with names as long as a datagram are not kept', () => {
  const head = [MESSAGE_KIND.peer, 'entry-1', 1, 1, false, 0, 0];
  const long = 'n'.repeat(60_000);
  const usage = [
    [long, 1, 1],
    ['c', 1, 1, long],
    ['c', 1, 1],
  ];
  const decoded = decodePeerMessage([...head, [], usage, [], []]);
  assert.equal(decoded?.usage.length, 1);
});
