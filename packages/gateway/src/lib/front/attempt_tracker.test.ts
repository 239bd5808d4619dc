import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {attemptFailure, EXECUTION} from '../errors.js';
import {AttemptTracker} from './attempt_tracker.js';

const failure = fc.constantFrom(
  attemptFailure('connect_failed', EXECUTION.notRun, ''),
  attemptFailure('not_executed', EXECUTION.notRun, ''),
  attemptFailure('reset', EXECUTION.unknown, '')
);

test('a request never reaches more targets than its route allows', () => {
  const input = fc.record({
    most: fc.integer({min: 1, max: 4}),
    failures: fc.array(failure, {maxLength: 12}),
  });
  fc.assert(
    fc.property(input, ({most, failures}) => {
      const ledger = AttemptTracker.create(most);
      let reached = 0;
      let mayHaveRun = false;
      for (const [index, failed] of failures.entries()) {
        if (index > 0 && !ledger.allowsRetry(1000)) break;
        ledger.onSend(`target-${index}`);
        ledger.onFailure(failed);
        if (failed.kind !== 'connect_failed') reached += 1;
        if (failed.execution === EXECUTION.unknown) mayHaveRun = true;
      }
      assert.ok(reached <= most);
      assert.equal(ledger.sends, reached);
      assert.equal(ledger.mayHaveRun, mayHaveRun);
    })
  );
});

test('nothing is sent again when hardly any time is left', () => {
  const ledger = AttemptTracker.create(3);
  ledger.onSend('a');
  assert.equal(ledger.allowsRetry(20), false);
  assert.equal(ledger.allowsRetry(500), true);
});
