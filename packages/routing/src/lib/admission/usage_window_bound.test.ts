import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MAX_CUSTOMERS, UsageWindow} from './usage_window.js';

const USAGE = {requested: 1, admitted: 1};

test('customer names that peers make up do not fill the memory', () => {
  const window = UsageWindow.create(1000);
  for (let i = 0; i < 4 * MAX_CUSTOMERS; i += 1) {
    window.add(`made-up-${i}`, USAGE, 0);
    if (i % 1000 === 0) window.add('busy', USAGE, 0);
  }
  assert.ok(window.size <= MAX_CUSTOMERS, `${window.size} customers are kept`);
  assert.equal(window.of('busy', 0).requested, 33);
});
