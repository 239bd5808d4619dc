import assert from 'node:assert/strict';
import {test} from 'node:test';
import {requestFingerprint} from './hash.js';

test('the fingerprint of stored claims and losses stays the same', () => {
  const parts = ['one', 'POST', 'llm', '/v1/chat', 'body é'];
  assert.equal(requestFingerprint(parts), 'Q_0ErsDCOJo');
});
