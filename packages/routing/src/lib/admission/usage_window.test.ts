import assert from 'node:assert/strict';
import {test} from 'node:test';
import {UsageWindow} from './usage_window.js';

test('a customer without usage in the window is forgotten', () => {
  const window = UsageWindow.create(1000);
  for (let i = 0; i < 500; i++) {
    window.add(`customer-${i}`, {requested: 5, admitted: 3}, i * 100);
    window.all(i * 100);
    assert.ok(window.size <= 12, `${window.size} customers at ${i}`);
  }
  const last = window.of('customer-499', 49_900);
  assert.deepEqual(last, {requested: 5, admitted: 3});
});
