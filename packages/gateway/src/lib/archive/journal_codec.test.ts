import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {pack} from 'msgpackr';
import {decodeJournalRecord, encodeJournalRecord} from './journal_codec.js';

import type {JournalRecord} from '@applebend/routing';

const version = fc.string({minLength: 1, maxLength: 12});
const attempts = fc
  .uniqueArray(fc.tuple(version, fc.array(fc.maxSafeNat())), {
    selector: ([name]) => name,
  })
  .map(entries => new Map(entries));
const options = {noNullPrototype: true};
const record: fc.Arbitrary<JournalRecord> = fc.oneof(
  fc.record(
    {
      kind: fc.constant('service' as const),
      service: fc.string(),
      versions: fc.array(version),
    },
    options
  ),
  fc.record({kind: fc.constant('streams' as const), attempts}, options)
);

test('a decoded record equals the encoded one', () => {
  fc.assert(
    fc.property(record, saved => {
      const decoded = decodeJournalRecord(encodeJournalRecord(saved));
      assert.deepEqual(decoded, saved);
    }),
    {seed: 1}
  );
});

test('a record that is malformed, removed or of another kind is none', () => {
  const key = 'service/llm';
  for (const value of [
    undefined,
    Buffer.from([0xc1]),
    Buffer.from('{"v":1}'),
    pack(['v1', 2]),
  ]) {
    assert.equal(decodeJournalRecord({key, value}), undefined);
  }
  const streams = (content: unknown) =>
    decodeJournalRecord({key: 'streams', value: pack(content)});
  assert.equal(streams([['v1', [1.5]]]), undefined);
  assert.equal(streams([['v1', 1]]), undefined);
  assert.equal(streams('v1'), undefined);
  const other = {key: 'other', value: pack(['v1'])};
  assert.equal(decodeJournalRecord(other), undefined);
});

test('random bytes are no record and raise no exception', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 60}), bytes => {
      const decoded = decodeJournalRecord({
        key: 'streams',
        value: Buffer.from(bytes),
      });
      assert.ok(decoded === undefined || decoded.kind === 'streams');
    }),
    {seed: 2}
  );
});

test('5,000 streams fit a record of the store, at 9 bytes each', () => {
  const keys = Array.from({length: 5000}, (_, i) => 2 ** 52 + i);
  const {value} = encodeJournalRecord({
    kind: 'streams',
    attempts: new Map([['v1', keys]]),
  });
  assert.ok(value.length <= 5000 * 9 + 20, `${value.length} bytes`);
});
