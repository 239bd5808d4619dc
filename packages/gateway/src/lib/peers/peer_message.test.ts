import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';
import {
  decodeSummary,
  encodeSummary,
  SUMMARY_SCOPE,
} from './summary_message.js';
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
  uses: fc.array(fc.record({customer: id, requested: count, admitted: count}), {
    maxLength: 6,
  }),
  placed: fc.array(
    fc.record({
      target: id,
      parts: fc.array(fc.record({id, tokens: count}), {maxLength: 4}),
      isNew: fc.boolean(),
    }),
    {maxLength: 6}
  ),
};

const message = fc.record({
  instance: id,
  incarnation: count,
  sequence: count,
  leaving: fc.boolean(),
  targets: fc.record({key: count, ageMs: count}),
  ...rows,
});

const summary = fc.record({
  scope: fc.constantFrom(SUMMARY_SCOPE.group, SUMMARY_SCOPE.rest),
  instance: id,
  incarnation: count,
  sequence: count,
  group: count,
  serving: count,
  isFull: fc.boolean(),
  ...rows,
});

test('a message arrives as it was sent', () => {
  fc.assert(
    fc.property(message, sent => {
      const wire = unpackMessage(encodePeerMessage(sent)) ?? [];
      assert.deepEqual(decodePeerMessage(wire), structuredClone(sent));
    })
  );
  fc.assert(
    fc.property(summary, sent => {
      const wire = unpackMessage(encodeSummary(sent)) ?? [];
      assert.deepEqual(decodeSummary(wire), structuredClone(sent));
    })
  );
});

test('foreign bytes are no message and no exception', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 80}), bytes => {
      const wire = unpackMessage(Buffer.from(bytes)) ?? [];
      assert.equal(decodePeerMessage(wire), undefined);
      assert.equal(decodeSummary(wire), undefined);
    })
  );
});
