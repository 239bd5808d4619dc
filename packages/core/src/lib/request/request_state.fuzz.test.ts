/** Checks the request's state against an oracle that counts what was sent. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  advanceRequest,
  initialRequestState,
  runStatusOf,
} from './request_state.js';

import type {RequestEvent} from './request_state.js';

const RUNS = Number(process.env['APPLEBEND_FUZZ_RUNS'] ?? 500);
const SEED = Number(process.env['APPLEBEND_FUZZ_SEED'] ?? 20261203);

const EVENTS: readonly RequestEvent['type'][] = [
  'claim_started',
  'queued',
  'granted',
  'grant_returned',
  'send_started',
  'proved_not_sent',
  'response_started',
  'response_completed',
  'connection_lost',
  'requeued',
  'abandoned',
];

test('request fuzz: "not run" is reported only if nothing was sent', () => {
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.array(fc.constantFrom(...EVENTS), {maxLength: 60, size: 'max'}),
      (idempotent, events) => {
        let state = initialRequestState(idempotent);
        let sends = 0;
        let provedUnsent = 0;
        for (const type of events) {
          const wasEnded = state.outcome !== undefined;
          const next = advanceRequest(state, {type});
          if (!next.ok) continue;
          assert.ok(!wasEnded, 'no event is accepted after the end');
          if (type === 'send_started') sends += 1;
          if (type === 'proved_not_sent') provedUnsent += 1;
          state = next.value;
        }
        const mayHaveRun = sends - provedUnsent > 0;
        if (runStatusOf(state) === 'not_run') assert.ok(!mayHaveRun);
        if (state.outcome === 'refused_not_run') assert.ok(!mayHaveRun);
        if (!idempotent) {
          assert.ok(
            sends - provedUnsent <= 1,
            'a non-idempotent request is sent at most once'
          );
        }
      }
    ),
    {numRuns: RUNS, seed: SEED}
  );
});
