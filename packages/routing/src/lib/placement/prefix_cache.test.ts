import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {PrefixCache} from './prefix_cache.js';

const part = (id: string, tokens: number) => ({id, tokens});

test('only an unbroken beginning of the prompt counts as kept', () => {
  const cache = PrefixCache.create(1000);
  cache.touch([part('a', 100), part('b', 200)]);
  assert.equal(cache.cachedTokens([part('a', 100), part('b', 200)]), 300);
  assert.equal(cache.cachedTokens([part('x', 5), part('b', 200)]), 0);
  assert.equal(cache.cachedTokens([part('a', 100), part('x', 5)]), 100);
});

test('the least recently used parts yield', () => {
  const cache = PrefixCache.create(300);
  cache.touch([part('a', 100)]);
  cache.touch([part('b', 100)]);
  cache.touch([part('a', 100)]);
  cache.touch([part('c', 200)]);
  assert.equal(cache.cachedTokens([part('a', 100)]), 100);
  assert.equal(cache.cachedTokens([part('b', 100)]), 0);
});

test('it keeps what a plain list of uses keeps', () => {
  const use = fc.record({
    id: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    tokens: fc.integer({min: 1, max: 60}),
  });
  fc.assert(
    fc.property(fc.array(use, {maxLength: 40}), uses => {
      const capacity = 100;
      const cache = PrefixCache.create(capacity);
      let kept: {id: string; tokens: number}[] = [];
      for (const {id, tokens} of uses) {
        cache.touch([part(id, tokens)]);
        kept = [...kept.filter(k => k.id !== id), {id, tokens}];
        const sum = () => kept.reduce((total, k) => total + k.tokens, 0);
        while (sum() > capacity) kept.shift();
      }
      for (const id of ['a', 'b', 'c', 'd', 'e']) {
        const isKept = kept.some(k => k.id === id);
        assert.equal(cache.cachedTokens([part(id, 1)]), isKept ? 1 : 0);
      }
    })
  );
});
