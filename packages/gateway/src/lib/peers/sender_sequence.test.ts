import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MAX_FORMER, SenderSequence} from './sender_sequence.js';

test('incarnations that a peer makes up do not fill the memory', () => {
  const sequence = SenderSequence.create();
  const last = 100 * MAX_FORMER;
  for (let i = 0; i <= last; i += 1) sequence.accept(i, 1);
  const kept = sequence.formerCount;
  assert.ok(kept <= MAX_FORMER, `${kept} incarnations are kept`);
  assert.equal(sequence.accept(last - 1, 2), false);
});
