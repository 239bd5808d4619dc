import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {PrefixCache} from './prefix_cache.js';

const block = (id: string, tokens: number) => ({id, tokens});

test('only an unbroken prefix of the prompt counts as cached', () => {
  const cache = PrefixCache.create(1000);
  cache.touch([block('a', 100), block('b', 200)]);
  assert.equal(cache.cachedTokens([block('a', 100), block('b', 200)]), 300);
  assert.equal(cache.cachedTokens([block('x', 5), block('b', 200)]), 0);
  assert.equal(cache.cachedTokens([block('a', 100), block('x', 5)]), 100);
});

test('the least recently used blocks are evicted', () => {
  const cache = PrefixCache.create(300);
  cache.touch([block('a', 100)]);
  cache.touch([block('b', 100)]);
  cache.touch([block('a', 100)]);
  cache.touch([block('c', 200)]);
  assert.equal(cache.cachedTokens([block('a', 100)]), 100);
  assert.equal(cache.cachedTokens([block('b', 100)]), 0);
});

test('the cache agrees with a plain list in order of access', () => {
  const access = fc.record({
    id: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    tokens: fc.integer({min: 1, max: 60}),
  });
  fc.assert(
    fc.property(fc.array(access, {maxLength: 40}), accesses => {
      const capacity = 100;
      const cache = PrefixCache.create(capacity);
      let list: {id: string; tokens: number}[] = [];
      for (const {id, tokens} of accesses) {
        cache.touch([block(id, tokens)]);
        list = [...list.filter(item => item.id !== id), {id, tokens}];
        const sum = () => list.reduce((total, item) => total + item.tokens, 0);
        while (sum() > capacity) list.shift();
      }
      for (const id of ['a', 'b', 'c', 'd', 'e']) {
        const isCached = list.some(item => item.id === id);
        assert.equal(cache.cachedTokens([block(id, 1)]), isCached ? 1 : 0);
      }
    })
  );
});

test('blocks without tokens do not fill the memory', () => {
  const cache = PrefixCache.create(1000);
  const first = block('first', 0);
  cache.touch([first]);
  for (let i = 0; i < 100_000; i++) cache.touch([block(`b${i}`, 0)]);
  assert.equal(cache.hasSharedBlocks([first, block('own', 1)]), false);
});
