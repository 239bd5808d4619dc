import {
  ClaimTable,
  fleetConfigSchema,
  applyConfigRecord,
  INITIAL_CONFIG_STATE,
  MemberView,
  rendezvousPick,
  configSnapshotOf,
} from '@applebend/core';
import {customerEntry, SAMPLE_CONFIG} from '../sample_config.js';
import {heapBytes, recordSlope, microsecondsPerCall} from './slope_table.js';

const US_PER_MS = 1000;

/** Measures memory, log bytes and time per claim, by the number of claims. */
export function measureClaims(): void {
  for (const claims of [10_000, 50_000, 200_000]) {
    const before = heapBytes();
    const table = ClaimTable.create(600_000);
    let bytes = 0;
    const startMs = performance.now();
    for (let i = 0; i < claims; i++) {
      const record = {
        type: 'claim',
        claimId: `claimid${i.toString(36).padStart(5, '0')}`,
        customer: `customer-${i % 910}`,
        keyHash: i.toString(16).padStart(32, '0'),
        fingerprint: 'fingerprint',
        owner: 'entry-123/AbCdEfGh',
      };
      const data = JSON.parse(JSON.stringify({records: [record]})) as unknown;
      bytes += JSON.stringify(record).length;
      table.applyBatch(i, i, data);
    }
    const tookMs = performance.now() - startMs;
    const state = (heapBytes() - before) / table.size;
    recordSlope('claim, memory', claims, 'B', state);
    recordSlope('claim, on the log', claims, 'B', bytes / claims);
    recordSlope(
      'claim, time to apply',
      claims,
      'us',
      (tookMs / claims) * US_PER_MS
    );
  }
}

/** Measures the configuration, by the number of customers. */
export function measureConfig(): void {
  for (const customers of [100, 910, 3000]) {
    const names = Array.from({length: customers}, (_, i) => `customer-${i}`);
    const entries = names.map(name => [name, customerEntry(name, 'standard')]);
    const config = fleetConfigSchema.parse({
      ...SAMPLE_CONFIG,
      customers: Object.fromEntries(entries) as unknown,
    });
    const before = heapBytes();
    const first = {
      type: 'change',
      changeId: 'first',
      base: 0,
      author: 'operator',
      upserts: config,
      removals: {},
    };
    const state = applyConfigRecord(INITIAL_CONFIG_STATE, {
      offset: 0,
      data: first,
    });
    const stateBytes = heapBytes() - before;
    const snapshotBytes = JSON.stringify(configSnapshotOf(state)).length;
    recordSlope('configuration, memory', customers, 'B', stateBytes);
    recordSlope('configuration snapshot', customers, 'B', snapshotBytes);
    const change = {
      type: 'change',
      changeId: 'next',
      base: state.revision,
      author: 'operator',
      upserts: {customers: {'customer-1': customerEntry('x', 'standard')}},
      removals: {},
    };
    recordSlope(
      'change of one customer',
      customers,
      'B',
      JSON.stringify(change).length
    );
    const us = microsecondsPerCall(20, () => {
      applyConfigRecord(state, {offset: state.nextOffset, data: change});
    });
    recordSlope('change of one customer, time to apply', customers, 'us', us);
  }
}

/** Measures the time for member queries, by the number of routers. */
export function measureMembership(): void {
  for (const routers of [9, 100, 350]) {
    const ids = Array.from({length: routers}, (_, i) => `entry-${i}`);
    const view = MemberView.create('entry-0', 1600);
    view.onList(ids.map(id => ({id, leaving: false})));
    const state = {
      ready: true,
      draining: false,
      revision: 1,
      leavingTargets: [],
    };
    for (const id of ids) view.onHeartbeat(id, 'incarnation', state, 0);
    const us = microsecondsPerCall(500, () => {
      view.dispatcherCandidates(1, true);
      view.slotOwners(1);
    });
    recordSlope('query of the member view', routers, 'us', us);
    const pickUs = microsecondsPerCall(500, () =>
      rendezvousPick('nest-llm', ids)
    );
    recordSlope('choice of a dispatcher', routers, 'us', pickUs);
  }
}
