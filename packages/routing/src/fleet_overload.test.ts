import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  FleetSimulation,
  gatewayPolicy,
  leastRequests,
} from './testing/fleet_simulation.js';

/** Requests per second of each customer. */
const DEMAND_PER_S = [60, 12, 8, 4, 2, 1, 1, 1];
/** Index of the first customer that requests less than its share. */
const FIRST_WITHIN_SHARE = 4;

const demand = () => DEMAND_PER_S;

test('under overload most requests of customers within their share are on time', () => {
  for (const seed of [1, 2, 3]) {
    const simulation = FleetSimulation.run({seed, demand}, gatewayPolicy);
    for (const totals of simulation.totals.slice(FIRST_WITHIN_SHARE)) {
      const fraction = totals.onTime / totals.requests;
      assert.ok(fraction > 0.8, `seed ${seed}: ${JSON.stringify(totals)}`);
    }
  }
});

test('customers over their share get over half of their demand or of the most that one gets', () => {
  for (const seed of [1, 2, 3]) {
    const simulation = FleetSimulation.run({seed, demand}, gatewayPolicy);
    const admitted = simulation.totals
      .slice(0, FIRST_WITHIN_SHARE)
      .map(f => f.admittedTokens);
    const most = Math.max(...admitted);
    for (const [index, totals] of simulation.totals.entries()) {
      if (index >= FIRST_WITHIN_SHARE) continue;
      const requested =
        (totals.admittedTokens / (totals.requests - totals.refused)) *
        totals.requests;
      const owed = Math.min(requested, most);
      assert.ok(
        totals.admittedTokens > owed / 2,
        `seed ${seed}, ${index}: ${admitted}`
      );
    }
  }
});

test('placing by fewest requests alone serves fewer on time and prefills more', () => {
  const onTime = (simulation: FleetSimulation) =>
    simulation.totals.reduce((sum, totals) => sum + totals.onTime, 0);
  for (const seed of [1, 2, 3]) {
    const baseline = FleetSimulation.run({seed, demand}, leastRequests);
    const simulation = FleetSimulation.run({seed, demand}, gatewayPolicy);
    assert.ok(onTime(simulation) > 1.5 * onTime(baseline), `seed ${seed}`);
    assert.ok(simulation.prefillPerRequest < 0.8 * baseline.prefillPerRequest);
  }
});
