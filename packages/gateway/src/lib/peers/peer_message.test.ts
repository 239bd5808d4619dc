import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {decodePeerMessage, encodePeerMessage} from './peer_message.js';

const count = fc.integer({min: 0, max: 2_000_000});
const id = fc.string({minLength: 1, maxLength: 12});

const message = fc.record({
  instance: id,
  incarnation: count,
  sequence: count,
  leaving: fc.boolean(),
  targets: fc.record({key: count, ageMs: count}),
  loads: fc.array(
    fc.record({
      target: id,
      running: count,
      prefillTokens: count,
      kvTokens: count,
    }),
    {maxLength: 6}
  ),
  uses: fc.array(fc.record({customer: id, asked: count, given: count}), {
    maxLength: 6,
  }),
  placed: fc.array(
    fc.record({
      target: id,
      parts: fc.array(fc.record({id, tokens: count}), {maxLength: 4}),
    }),
    {maxLength: 6}
  ),
});

test('a message arrives as it was sent', () => {
  fc.assert(
    fc.property(message, sent => {
      const arrived = decodePeerMessage(encodePeerMessage(sent));
      assert.deepEqual(arrived, structuredClone(sent));
    })
  );
});

test('foreign bytes are no message and no exception', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 80}), bytes => {
      assert.equal(decodePeerMessage(Buffer.from(bytes)), undefined);
    })
  );
});
