import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Random} from '@applebend/utils';
import {FleetRetryBudget} from './fleet_retry_budget.js';

test('nine instances that do not communicate stay within the fleet budget', () => {
  const options = {windowMs: 10_000, ratio: 0.2, minRetries: 58};
  for (let seed = 1; seed <= 20; seed++) {
    const random = Random.create(seed);
    const budgets = Array.from({length: 9}, () =>
      FleetRetryBudget.create(options)
    );
    const requests: number[] = [];
    const retries: number[] = [];
    for (let t = 0; t < 40_000; t += 5) {
      const budget = random.pick(budgets);
      budget.onRequest(t);
      requests.push(t);
      if (budget.tryAcquire(9, t)) retries.push(t);
    }
    for (let end = 10_000; end <= 40_000; end += 500) {
      const isInWindow = (t: number) => t > end - 10_000 && t <= end;
      const allowed = 0.2 * requests.filter(isInWindow).length + 58;
      assert.ok(retries.filter(isInWindow).length <= allowed, `seed ${seed}`);
    }
  }
});
