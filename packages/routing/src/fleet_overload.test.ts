/** What customers get on a heavy day. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FleetSimulation, leastRequests, gatewayPolicy} from './testing/fleet_simulation.js';

/** Requests a second; the first customer asks for most of all. */
const CUSTOMERS = [60, 12, 8, 4, 2, 1, 1, 1];
/** Index of the first customer that asks for less than its share. */
const FIRST_WITHIN_SHARE = 4;

const demand = () => CUSTOMERS;

test('on a heavy day customers within their share are served on time', () => {
  for (const seed of [1, 2, 3]) {
    const day = FleetSimulation.run({seed, demand}, gatewayPolicy);
    for (const figures of day.totals.slice(FIRST_WITHIN_SHARE)) {
      const part = figures.onTime / figures.requests;
      assert.ok(part > 0.8, `seed ${seed}: ${JSON.stringify(figures)}`);
    }
  }
});

test('no customer over its share gets less than half of another', () => {
  for (const seed of [1, 2, 3]) {
    const day = FleetSimulation.run({seed, demand}, gatewayPolicy);
    const given = day.totals.slice(0, FIRST_WITHIN_SHARE).map(f => f.admittedTokens);
    const most = Math.max(...given);
    for (const [index, figures] of day.totals.entries()) {
      if (index >= FIRST_WITHIN_SHARE) continue;
      const asked =
        (figures.admittedTokens / (figures.requests - figures.refused)) * figures.requests;
      const owed = Math.min(asked, most);
      assert.ok(figures.admittedTokens > owed / 2, `seed ${seed}, ${index}: ${given}`);
    }
  }
});

test('the load is one that the baseline serves late and reads twice', () => {
  const onTime = (day: FleetSimulation) =>
    day.totals.reduce((sum, figures) => sum + figures.onTime, 0);
  for (const seed of [1, 2, 3]) {
    const baseline = FleetSimulation.run({seed, demand}, leastRequests);
    const day = FleetSimulation.run({seed, demand}, gatewayPolicy);
    assert.ok(onTime(day) > 1.5 * onTime(baseline), `seed ${seed}`);
    assert.ok(day.prefillPerRequest < 0.8 * baseline.prefillPerRequest);
  }
});
