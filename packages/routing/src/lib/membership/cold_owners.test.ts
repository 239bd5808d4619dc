import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ColdOwners} from './cold_owners.js';

const instances = fc.uniqueArray(fc.string({minLength: 1, maxLength: 6}), {
  minLength: 1,
  maxLength: 60,
});

function ownersOf(
  list: readonly string[],
  target: string,
  count: number
): string[] {
  return list.filter(self => {
    const owners = ColdOwners.create(self, false);
    owners.add(list, 0);
    return owners.isOwner(target, count, 0);
  });
}

test('as many instances as asked for own a target, the same in any order of the list', () => {
  fc.assert(
    fc.property(
      instances,
      fc.string(),
      fc.integer({min: 1, max: 12}),
      (list, target, count) => {
        const owners = ownersOf(list, target, count);
        assert.equal(owners.length, Math.min(count, list.length));
        const reversed = [...list].reverse();
        assert.deepEqual(ownersOf(reversed, target, count).reverse(), owners);
      }
    ),
    {numRuns: 200, seed: 20261204}
  );
});

test('the owners of several targets differ', () => {
  const list = Array.from({length: 82}, (_, i) => `entry-${i}`);
  const owned = Array.from({length: 40}, (_, i) =>
    ownersOf(list, `llm-${i}`, 7)
  );
  const used = new Set(owned.flat());
  // 280 shares at 82 instances leave about 3 of them without any.
  assert.ok(used.size >= 70, `${used.size} instances own shares`);
});

test('an instance that has not read the list, or is not in it, owns nothing', () => {
  const owners = ColdOwners.create('entry-1', false);
  assert.equal(owners.isOwner('t-1', 7, 1e9), false);
  owners.add(['entry-2'], 0);
  assert.equal(owners.isOwner('t-1', 7, 1e9), false);
});

test('an instance that is new in the list owns nothing until others have read it', () => {
  const owners = ColdOwners.create('entry-1', false);
  owners.add(['entry-2'], 0);
  assert.equal(owners.add(['entry-1'], 1000), true);
  assert.equal(owners.isOwner('t-1', 7, 4900), false);
  assert.equal(owners.isOwner('t-1', 7, 5000), true);
});

test('in a fleet that starts for the first time the list may lack some yet', () => {
  const owners = ColdOwners.create('entry-1', true);
  owners.add(['entry-1'], 0);
  assert.equal(owners.isOwner('t-1', 1, 3900), false);
  assert.equal(owners.isOwner('t-1', 1, 4000), true);
  assert.equal(owners.add(['entry-1'], 5000), false);
});

test('a larger fleet takes longer to read a change of the list', () => {
  const others = Array.from({length: 349}, (_, i) => `other-${i}`);
  const owners = ColdOwners.create('entry-1', false);
  owners.add(others, 0);
  owners.add(['entry-1'], 0);
  assert.equal(owners.isActive(19_000), false);
  assert.equal(owners.isActive(20_000), true);
});
