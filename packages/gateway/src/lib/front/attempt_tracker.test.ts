import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {attemptFailure} from '../errors.js';
import {EXECUTION} from '../execution.js';
import {AttemptTracker} from './attempt_tracker.js';

const failure = fc.constantFrom(
  attemptFailure('connect_failed', EXECUTION.notRun, ''),
  attemptFailure('connect_failed', EXECUTION.notRun, '', true),
  attemptFailure('not_executed', EXECUTION.notRun, ''),
  attemptFailure('reset', EXECUTION.unknown, '')
);

test('a request reaches at most the number of targets that its route allows', () => {
  const input = fc.record({
    maxAttempts: fc.integer({min: 1, max: 4}),
    failures: fc.array(failure, {maxLength: 12}),
  });
  fc.assert(
    fc.property(input, ({maxAttempts, failures}) => {
      const tracker = AttemptTracker.create(maxAttempts);
      let reached = 0;
      let mayHaveRun = false;
      for (const [index, failed] of failures.entries()) {
        if (index > 0 && !tracker.allowsRetry(1000)) break;
        tracker.onSend(`target-${index}`);
        tracker.onFailure(failed);
        if (failed.kind !== 'connect_failed') reached += 1;
        if (failed.execution === EXECUTION.unknown) mayHaveRun = true;
      }
      assert.ok(reached <= maxAttempts);
      assert.equal(tracker.sends, reached);
      assert.equal(tracker.mayHaveRun, mayHaveRun);
    })
  );
});

const refused = attemptFailure('connect_failed', EXECUTION.notRun, '', true);

test('targets that refuse connections do not use up the tries of a request', () => {
  const tracker = AttemptTracker.create(2);
  for (let i = 0; i < 10; i++) {
    tracker.onSend(`target-${i}`);
    tracker.onFailure(refused);
    assert.ok(tracker.allowsRetry(1000), `after ${i + 1}`);
  }
  assert.equal(tracker.sends, 0);
});

test('a request that was refused three times is not sent to ejected targets', () => {
  const tracker = AttemptTracker.create(2);
  for (const mayTry of [true, true, false]) {
    tracker.onSend('target');
    tracker.onFailure(refused);
    assert.equal(tracker.mayTryEjected, mayTry);
  }
});

test('no retry is allowed shortly before the deadline', () => {
  const tracker = AttemptTracker.create(3);
  tracker.onSend('a');
  assert.equal(tracker.allowsRetry(20), false);
  assert.equal(tracker.allowsRetry(500), true);
});
