import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fairnessWindows} from './lib/fairness/fairness_windows.js';
import {FleetSimulation, gatewayPolicy} from './testing/fleet_simulation.js';

import type {FairnessWindow} from './lib/fairness/fairness_windows.js';
import type {FleetSimulationOptions} from './testing/fleet_simulation.js';

/** Requests per second of each customer outside of bursts, highest first. */
const NORMAL_DEMAND_PER_S = [18, 12, 8, 6, 5, 4, 3, 2, 2, 1, 1, 1, 1, 1, 1, 1];
/** Growth of one customer's demand, from before the burst until its end. */
const HOT_FACTOR = 12;
/** Growth of every customer's demand during the burst. */
const BURST_FACTOR = 2;
const HOT_FROM_MS = 10_000;
const BURST_FROM_MS = 12_000;
const BURST_TO_MS = 22_000;
/** Length of the windows in which customers are compared. */
const WINDOW_S = 6;
/**
 * More than twice what the engines start, as after the loss of many engines.
 */
const UNREACHABLE_TOKENS_PER_S = 900_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/**
 * Returns how many engines are lost: a third, from 3 s after the start of the
 * burst until 2 s after its end.
 */
function lostEngines(nowMs: number): number {
  return nowMs >= 15_000 && nowMs < 24_000 ? 2 : 0;
}

/** Returns how many engines are lost if two thirds are, at the same times. */
function mostEnginesLost(nowMs: number): number {
  return 2 * lostEngines(nowMs);
}

/** Returns the demand if the customer at index `hotRank` is the hot one. */
function demandOf(hotRank: number) {
  return (nowMs: number): number[] => {
    const isHot = nowMs >= HOT_FROM_MS && nowMs < BURST_TO_MS;
    const isBurst = nowMs >= BURST_FROM_MS && nowMs < BURST_TO_MS;
    return NORMAL_DEMAND_PER_S.map((perS, rank) => {
      const hot = isHot && rank === hotRank ? HOT_FACTOR : 1;
      return perS * hot * (isBurst ? BURST_FACTOR : 1);
    });
  };
}

/** Returns the window with the lowest ratio. */
function leastWindow(options: FleetSimulationOptions): FairnessWindow {
  const simulation = FleetSimulation.run(options, gatewayPolicy);
  const windows = fairnessWindows(simulation.timeline, WINDOW_S);
  return windows.reduce((a, b) => (a.ratio <= b.ratio ? a : b));
}

/** Checks the guaranteed ratio in all windows. */
function checkAllSeeds(options: Omit<FleetSimulationOptions, 'seed'>): void {
  for (const seed of SEEDS) {
    const least = leastWindow({seed, ...options});
    assert.ok(least.ratio >= 1, `seed ${seed}: ${JSON.stringify(least)}`);
  }
}

for (const hotRank of [0, 2, 5, 11]) {
  const demand = demandOf(hotRank);

  test(`a refused customer gets at least half of what hot customer ${hotRank} gets in a burst`, () => {
    checkAllSeeds({demand});
  });

  test(`a refused customer gets at least half of what hot customer ${hotRank} gets when the fleet serves less than configured`, () => {
    checkAllSeeds({demand, tokensPerS: UNREACHABLE_TOKENS_PER_S});
  });

  test(`a refused customer gets at least half of what hot customer ${hotRank} gets when engines are lost`, () => {
    checkAllSeeds({demand, lostEngines});
  });

  test(`hot customer ${hotRank} starves no other when most engines are lost`, () => {
    for (const seed of SEEDS) {
      const least = leastWindow({seed, demand, lostEngines: mostEnginesLost});
      assert.ok(least.given > 0, `seed ${seed}: ${JSON.stringify(least)}`);
    }
  });
}
