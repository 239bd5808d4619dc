import assert from 'node:assert/strict';
import {test} from 'node:test';
import {RetryBudget} from '@applebend/core';
import {AttemptHistory} from './attempt_history.js';

/** Guards against a request that is retried without end. */
test('a request gets three attempts with ids of their own', () => {
  const history = AttemptHistory.create('r1', RetryBudget.create());
  const ids = [history.begin()];
  while (history.tryRetry()) ids.push(history.begin());
  assert.deepEqual(ids, ['r1.1', 'r1.2', 'r1.3']);
});

/** Guards against retries that multiply the load when all targets fail. */
test('requests of an instance share its retry budget', () => {
  const budget = RetryBudget.create();
  while (budget.tryAcquire());
  const history = AttemptHistory.create('r1', budget);
  history.begin();
  assert.equal(history.tryRetry(), false);
});

/** Guards against refused retries that use up the budget of other requests. */
test('a request past its attempts spends no retry of the budget', () => {
  const countRetries = (budget: RetryBudget) => {
    let count = 0;
    while (budget.tryAcquire()) count += 1;
    return count;
  };
  const budget = RetryBudget.create();
  const history = AttemptHistory.create('r1', budget);
  for (let attempt = 0; attempt < 3; attempt++) history.begin();
  assert.equal(history.tryRetry(), false);
  assert.equal(countRetries(budget), countRetries(RetryBudget.create()));
});
