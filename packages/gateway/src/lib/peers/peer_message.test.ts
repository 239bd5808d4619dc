import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';
import {
  decodeAggregate,
  encodeAggregate,
  AGGREGATE_SCOPE,
} from './aggregate_message.js';
import {unpackMessage} from './wire_rows.js';

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
};

const message = fc.record({
  instance: id,
  incarnation: count,
  sequence: count,
  leaving: fc.boolean(),
  targetList: fc.record({key: count, ageMs: count}),
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
