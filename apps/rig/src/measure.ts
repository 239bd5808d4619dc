import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {POLICY_NAME} from '@applebend/core';
import {sleep} from '@applebend/utils';
import {fairnessGap, figuresOf, slotFigures} from './lib/load/figures.js';
import {LoadRunner} from './lib/load/load_runner.js';
import {Sampler} from './lib/load/sampler.js';
import {planCalls} from './lib/load/schedule.js';
import {ROUTERS, siteConfig} from './lib/load/site.js';
import {createSiteFleet} from './lib/load/site_fleet.js';

import type {Fleet} from './lib/fleet.js';
import type {Figures} from './lib/load/figures.js';
import type {FleetSample} from './lib/load/sampler.js';

const {values} = parseArgs({
  options: {
    seconds: {type: 'string', default: '40'},
    seed: {type: 'string', default: '1'},
    json: {type: 'string'},
    policies: {type: 'string', default: Object.values(POLICY_NAME).join(',')},
    faults: {type: 'boolean', default: false},
    'short-call-slots': {type: 'string', default: '1'},
    'max-slots': {type: 'string', default: '8'},
  },
});

const MS_PER_S = 1000;
/** Duration of each fault. */
const OUTAGE_MS = 5000;
/** Time after a fault that its figures still cover. */
const RECOVERY_MS = 6000;
/** Longer than the deadline of any call, which is 300 s at most. */
const TIMEOUT_MS = 400_000;

/** A fault of a run, and its effects. */
interface FaultFigures {
  readonly name: string;
  /** Start of the fault, by `performance.now()`. */
  readonly atMs: number;
  /** Fairness gap around the fault. */
  readonly gap: number;
  /** Slot seconds that were free while calls waited, around the fault. */
  readonly lostSlotS: number;
}

interface PolicyReport {
  readonly policy: string;
  readonly figures: Figures;
  readonly faults: readonly FaultFigures[];
}

/**
 * Kills one router, freezes another and isolates a third, a quarter of the run
 * apart. No balancer runs here, so the frozen router is taken out of service
 * directly.
 */
async function injectFaults(
  fleet: Fleet,
  seconds: number,
  faultStarts: {name: string; atMs: number}[]
): Promise<void> {
  const quarterMs = (seconds * MS_PER_S) / 4;
  const recordFault = (name: string) =>
    faultStarts.push({name, atMs: performance.now()});
  await sleep(quarterMs);
  recordFault('kill');
  await fleet.crash(1, OUTAGE_MS);
  await sleep(quarterMs - OUTAGE_MS);
  recordFault('freeze');
  fleet.router(3).freeze();
  fleet.setAccepting(3, false);
  await sleep(OUTAGE_MS);
  fleet.router(3).thaw();
  fleet.setAccepting(3, true);
  await sleep(quarterMs - OUTAGE_MS);
  recordFault('cut off');
  fleet.links.isolate(5);
  await sleep(OUTAGE_MS);
  fleet.links.rejoin(5);
}

/** Returns the figures from 1 s before a fault until the recovery is over. */
function figuresAroundFault(
  samples: readonly FleetSample[],
  {name, atMs}: {name: string; atMs: number}
): FaultFigures {
  const near = samples.filter(
    s => s.atMs >= atMs - 1000 && s.atMs <= atMs + OUTAGE_MS + RECOVERY_MS
  );
  const {idle_while_waiting: idle} = slotFigures(near);
  const first = near[0]?.atMs ?? 0;
  const spanS = ((near[near.length - 1]?.atMs ?? 0) - first) / MS_PER_S;
  const slots = near[0]?.slots ?? 0;
  return {name, atMs, gap: fairnessGap(near), lostSlotS: idle * spanS * slots};
}

/**
 * Runs the load under one policy. It depends only on the options, so that all
 * policies get the same calls.
 */
async function measurePolicy(policy: string): Promise<PolicyReport> {
  const seconds = Number(values.seconds);
  const seed = Number(values.seed);
  const calls = planCalls({seconds, seed, scale: 1, routers: ROUTERS});
  const fleet = await createSiteFleet({
    policy,
    config: siteConfig(
      Number(values['short-call-slots']),
      Number(values['max-slots'])
    ),
    logLevel: 'error',
  });
  try {
    await sleep(2 * MS_PER_S);
    const load = LoadRunner.create(fleet, TIMEOUT_MS);
    const sampler = Sampler.create(fleet, load);
    sampler.start();
    const marks: {name: string; atMs: number}[] = [];
    const faults = values.faults
      ? injectFaults(fleet, seconds, marks)
      : undefined;
    await load.send(calls);
    await faults;
    await sampler.stop();
    const {samples} = sampler;
    return {
      policy,
      figures: figuresOf(samples, [...load.results], [...fleet.runs]),
      faults: marks.map(mark => figuresAroundFault(samples, mark)),
    };
  } finally {
    await fleet.stop();
  }
}

/** Prints one table with a column for each policy. */
function printTable(reports: readonly PolicyReport[]): void {
  const names = reports.map(report => report.policy);
  console.log(['figure', ...names].join(' | '));
  const keys = Object.keys(reports[0]?.figures ?? {}) as (keyof Figures)[];
  for (const key of keys) {
    const cells = reports.map(({figures}) => round(figures[key]));
    console.log([key, ...cells].join(' | '));
  }
  for (const {policy, faults} of reports) {
    for (const {name, gap, lostSlotS} of faults) {
      console.log(
        `${policy}, ${name}: gap ${round(gap)}, lost slot s ${round(lostSlotS)}`
      );
    }
  }
}

function round(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(4);
}

const reports: PolicyReport[] = [];
for (const policy of values.policies.split(',')) {
  reports.push(await measurePolicy(policy));
}
printTable(reports);
const summary = {seconds: values.seconds, seed: values.seed, reports};
if (values.json !== undefined) {
  writeFileSync(values.json, `${JSON.stringify(summary, null, 2)}\n`);
}
process.exit(0);
