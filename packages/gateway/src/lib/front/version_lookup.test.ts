import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  attemptKeyOf,
  ServiceVersions,
  StreamVersions,
} from '@applebend/routing';
import {sleep, systemClock} from '@applebend/utils';
import {JournalReadiness} from '../archive/journal_readiness.js';
import {lookUpVersion} from './version_lookup.js';

import type {VersionNeed} from '@applebend/routing';
import type {FleetState} from '../state/fleet_state.js';
import type {RequestContext} from './request_context.js';

const MAX_WAIT_MS = 500;
/** What a timer may be late on a busy machine. */
const TIMER_LAG_MS = 300;

/** An instance that has not read the journal and sees a single version. */
function createState() {
  const state = {
    streamVersions: StreamVersions.create(),
    journalReadiness: JournalReadiness.create(),
    targets: {versions: ServiceVersions.create()},
    confirmTargets: () => Promise.resolve(true),
  };
  const seen = {service: 'llm', version: 'v2', ageMs: 0};
  state.targets.versions.add(seen, systemClock.monotonicMs());
  return state;
}

function lookUp(
  state: ReturnType<typeof createState>,
  caller: {lastEventId?: string; firstAttemptId?: string}
) {
  const context = {service: 'llm', route: {streaming: true}, caller};
  const beganAtMs = performance.now();
  const needs: {need: VersionNeed; afterMs: number}[] = [];
  const cancel = lookUpVersion(
    context as unknown as RequestContext,
    {state: state as unknown as FleetState, clock: systemClock},
    need => needs.push({need, afterMs: performance.now() - beganAtMs})
  );
  return {needs, cancel};
}

const resumed = {lastEventId: '2', firstAttemptId: 'first'};

test('a new stream and one of a known attempt do not wait for the journal', () => {
  const state = createState();
  assert.deepEqual(lookUp(state, {}).needs[0]?.need, {kind: 'any'});
  const nowMs = systemClock.monotonicMs();
  state.streamVersions.add(attemptKeyOf('first'), 'v1', nowMs);
  const {needs} = lookUp(state, resumed);
  assert.deepEqual(needs[0]?.need, {kind: 'exact', version: 'v1'});
});

test('an unknown attempt waits until the journal is read, and no longer', async () => {
  const state = createState();
  const {needs} = lookUp(state, resumed);
  await sleep(100);
  assert.equal(needs.length, 0);
  const nowMs = systemClock.monotonicMs();
  state.streamVersions.addJournaled(attemptKeyOf('first'), 'v1', nowMs);
  state.journalReadiness.onComplete();
  assert.deepEqual(needs[0]?.need, {kind: 'exact', version: 'v1'});
  await sleep(MAX_WAIT_MS + TIMER_LAG_MS);
  assert.equal(needs.length, 1);
});

test('an unknown attempt waits 500 ms where the journal cannot be read', async () => {
  const {needs} = lookUp(createState(), resumed);
  await sleep(MAX_WAIT_MS + TIMER_LAG_MS);
  assert.equal(needs.length, 1);
  const [{need, afterMs}] = needs;
  assert.equal(need.kind, 'pending');
  assert.ok(afterMs >= MAX_WAIT_MS - 5, `after ${afterMs} ms`);
  assert.ok(afterMs < MAX_WAIT_MS + TIMER_LAG_MS, `after ${afterMs} ms`);
});

test('a request that has ended does not come back after the wait', async () => {
  const state = createState();
  const {needs, cancel} = lookUp(state, resumed);
  cancel();
  state.journalReadiness.onComplete();
  await sleep(MAX_WAIT_MS + TIMER_LAG_MS);
  assert.equal(needs.length, 0);
});

test('an unknown attempt goes on at the only version once the list is confirmed', async () => {
  const state = createState();
  state.journalReadiness.onComplete();
  const {needs} = lookUp(state, resumed);
  assert.equal(needs.length, 0);
  await sleep(10);
  assert.deepEqual(needs[0]?.need, {kind: 'inferred', version: 'v2'});
});

test('an unknown attempt goes on at no version that the confirmed list adds to', async () => {
  const state = createState();
  state.journalReadiness.onComplete();
  state.confirmTargets = async () => {
    const joined = {service: 'llm', version: 'v3', ageMs: 0};
    state.targets.versions.add(joined, systemClock.monotonicMs());
    return true;
  };
  const {needs} = lookUp(state, resumed);
  await sleep(10);
  assert.equal(needs[0]?.need.kind, 'unknown');
});

// Its notice may have been lost, or sent while this instance was frozen.
test('an unknown attempt goes on at the version that a second read of the journal names', async () => {
  const state = createState();
  state.journalReadiness.onComplete();
  const joined = {service: 'llm', version: 'v3', ageMs: 0};
  const nowMs = systemClock.monotonicMs();
  state.targets.versions.add(joined, nowMs);
  let reads = 0;
  state.journalReadiness.setReader(async () => {
    reads += 1;
    state.streamVersions.addJournaled(attemptKeyOf('first'), 'v3', nowMs);
  });
  const {needs} = lookUp(state, resumed);
  const other = lookUp(state, {...resumed, firstAttemptId: 'other'});
  await sleep(10);
  assert.deepEqual(needs[0]?.need, {kind: 'exact', version: 'v3'});
  assert.deepEqual(other.needs[0]?.need, {kind: 'unknown'});
  assert.equal(reads, 2);
});

test('a second read of the journal is waited for 500 ms at most', async () => {
  const state = createState();
  state.journalReadiness.onComplete();
  const joined = {service: 'llm', version: 'v3', ageMs: 0};
  state.targets.versions.add(joined, systemClock.monotonicMs());
  state.journalReadiness.setReader(() => new Promise(() => undefined));
  const {needs} = lookUp(state, resumed);
  await sleep(MAX_WAIT_MS + TIMER_LAG_MS);
  const [{need, afterMs}] = needs;
  assert.equal(need.kind, 'unknown');
  assert.ok(afterMs < MAX_WAIT_MS + TIMER_LAG_MS, `after ${afterMs} ms`);
});

test('an unknown attempt is refused where the list cannot be confirmed', async () => {
  const state = createState();
  state.journalReadiness.onComplete();
  state.confirmTargets = async () => false;
  const {needs} = lookUp(state, resumed);
  await sleep(10);
  assert.equal(needs[0]?.need.kind, 'unconfirmed');
});
