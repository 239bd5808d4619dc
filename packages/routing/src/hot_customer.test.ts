/** What waiting customers get beside a hot one, while a burst is on. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fairnessWindows} from './lib/fairness/fairness_windows.js';
import {FleetSimulation, gatewayPolicy} from './testing/fleet_simulation.js';

import type {FairnessWindow} from './lib/fairness/fairness_windows.js';
import type {FleetSimulationOptions} from './testing/fleet_simulation.js';

/** Requests a second on usual seconds. */
const USUAL = [18, 12, 8, 6, 5, 4, 3, 2, 2, 1, 1, 1, 1, 1, 1, 1];
const HOT_FACTOR = 12;
const BURST_FACTOR = 2;
const HOT_FROM_MS = 10_000;
const BURST_FROM_MS = 12_000;
const BURST_TO_MS = 22_000;
const WINDOW_S = 6;
/** Over twice of what the engines begin, as after a loss of many. */
const UNREACHED_TOKENS_PER_S = 900_000;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** A third of the engines is gone from the middle of the burst on. */
function lostEngines(nowMs: number): number {
  return nowMs >= 15_000 && nowMs < 24_000 ? 2 : 0;
}

/** The same with two thirds of them. */
function mostEnginesLost(nowMs: number): number {
  return 2 * lostEngines(nowMs);
}

function demandOf(hotRank: number) {
  return (nowMs: number): number[] => {
    const isHot = nowMs >= HOT_FROM_MS && nowMs < BURST_TO_MS;
    const isBurst = nowMs >= BURST_FROM_MS && nowMs < BURST_TO_MS;
    return USUAL.map((perS, rank) => {
      const hot = isHot && rank === hotRank ? HOT_FACTOR : 1;
      return perS * hot * (isBurst ? BURST_FACTOR : 1);
    });
  };
}

function leastWindow(options: FleetSimulationOptions): FairnessWindow {
  const day = FleetSimulation.run(options, gatewayPolicy);
  const windows = fairnessWindows(day.timeline, WINDOW_S);
  return windows.reduce((a, b) => (a.ratio <= b.ratio ? a : b));
}

function checkAllSeeds(options: Omit<FleetSimulationOptions, 'seed'>): void {
  for (const seed of SEEDS) {
    const least = leastWindow({seed, ...options});
    assert.ok(least.ratio >= 1, `seed ${seed}: ${JSON.stringify(least)}`);
  }
}

for (const hotRank of [0, 2, 5, 11]) {
  const demand = demandOf(hotRank);

  test(`a waiting customer has half of what a hot one of rank ${hotRank} gets in a burst`, () => {
    checkAllSeeds({demand});
  });

  test(`a waiting customer has half of what a hot one of rank ${hotRank} gets where the fleet serves less than configured`, () => {
    checkAllSeeds({demand, tokensPerS: UNREACHED_TOKENS_PER_S});
  });

  test(`a waiting customer has half of what a hot one of rank ${hotRank} gets as engines are lost`, () => {
    checkAllSeeds({demand, lostEngines});
  });

  test(`no customer starves beside a hot one of rank ${hotRank} as most engines are lost`, () => {
    for (const seed of SEEDS) {
      const least = leastWindow({seed, demand, lostEngines: mostEnginesLost});
      assert.ok(least.given > 0, `seed ${seed}: ${JSON.stringify(least)}`);
    }
  });
}
