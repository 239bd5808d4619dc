import {parseArgs} from 'node:util';
import {POLICY_NAME} from '@applebend/core';
import {CRASH_MARKER} from '@applebend/standins';
import {sleep} from '@applebend/utils';
import {Balancer} from './lib/balancer.js';
import {FaultSchedule} from './lib/load/fault_schedule.js';
import {LoadRunner} from './lib/load/load_runner.js';
import {Sampler} from './lib/load/sampler.js';
import {planCalls} from './lib/load/schedule.js';
import {MODEL_SERVICE, ROUTERS, siteConfig} from './lib/load/site.js';
import {createSiteFleet} from './lib/load/site_fleet.js';
import {checkResults, refusalOf} from './lib/promise_checks.js';
import {adminPage, callModel} from './lib/sample_calls.js';

import type {Fleet} from './lib/fleet.js';
import type {FleetSample} from './lib/load/sampler.js';

const {values} = parseArgs({
  options: {
    seconds: {type: 'string', default: '60'},
    seed: {type: 'string', default: '1'},
    scale: {type: 'string', default: '0.5'},
    verbose: {type: 'boolean', default: false},
  },
});

const LIST_LAG_MS = 1000;
/** Time to be in force: of a departure on the list, or of a configuration. */
const IN_FORCE_MS = 3000;
/** Longer than the deadline of any call, which is 300 s at most. */
const TIMEOUT_MS = 330_000;
/** How long open calls may take to end after the load and the faults. */
const DRAIN_MS = 90_000;
const CRASHING_REQUEST_INTERVAL_MS = 25_000;
const CRASHING_REQUEST_ATTEMPTS = 5;
/** Exit code of a stand-in that crashed by itself. */
const CRASH_EXIT_CODE = 70;
const MAX_CRASHES_PER_REQUEST = 2;

/** The violations found in a run, by promise. */
class Verdict {
  private readonly found = new Map<string, string[]>();

  add(promise: string, detail: string): void {
    const details = this.found.get(promise) ?? [];
    details.push(detail);
    this.found.set(promise, details);
  }

  count(promise: string): number {
    return this.found.get(promise)?.length ?? 0;
  }

  get clean(): boolean {
    return this.found.size === 0;
  }

  print(promises: readonly string[]): void {
    for (const promise of promises) {
      console.log(`${promise} | violations ${this.count(promise)}`);
      for (const detail of this.found.get(promise)?.slice(0, 5) ?? []) {
        console.log(`    ${detail}`);
      }
    }
  }
}

/**
 * The promises that a soak run checks, under the names that it prints. The
 * first five are those of `Violation`.
 */
const PROMISES = [
  'whole',
  'own',
  'not_run',
  'at_most_once',
  'at_once',
  'no_starvation',
  'fairness_bound',
  'configuration',
  'leaving',
  'crashing_request',
  'invalid_transition',
];

/** Restarts targets that crashed by themselves; returns their number. */
async function restartCrashedTargets(fleet: Fleet): Promise<number> {
  let crashes = 0;
  for (const target of fleet.targets) {
    if (target.exitCode !== CRASH_EXIT_CODE) continue;
    crashes += 1;
    await sleep(300);
    await target.start();
  }
  return crashes;
}

/**
 * Sends requests that crash targets. Each kind is sent several times, to check
 * that it is quarantined.
 */
async function sendCrashingRequests(
  fleet: Fleet,
  verdict: Verdict,
  stop: AbortSignal
): Promise<void> {
  for (let kind = 1; !stop.aborted; kind++) {
    await sleep(CRASHING_REQUEST_INTERVAL_MS / 2, stop);
    let crashes = 0;
    for (let i = 0; i < CRASHING_REQUEST_ATTEMPTS && !stop.aborted; i++) {
      const index = (kind + i) % fleet.routers.length;
      await callModel(fleet, index, {
        customer: 'large-1',
        model: MODEL_SERVICE,
        prompt: `${CRASH_MARKER} ${kind} out=60`,
        maxTokens: 64,
        tag: `crashing-${kind}`,
      });
      await sleep(200);
      crashes += await restartCrashedTargets(fleet);
    }
    if (crashes > MAX_CRASHES_PER_REQUEST) {
      verdict.add(
        'crashing_request',
        `request ${kind} crashed ${crashes} targets`
      );
    }
    await sleep(CRASHING_REQUEST_INTERVAL_MS / 2, stop);
  }
}

/** Checks that no revision fell and no fairness bound was exceeded. */
function checkSamples(samples: readonly FleetSample[], verdict: Verdict): void {
  const revisions = new Map<string, number>();
  const bounds = new Map<string, number>();
  for (const {routers} of samples) {
    for (const {incarnation, revision, instance, cells} of routers) {
      const before = revisions.get(incarnation) ?? 0;
      if (revision < before) {
        verdict.add(
          'configuration',
          `${instance}: revision fell from ${before} to ${revision}`
        );
      }
      revisions.set(incarnation, revision);
      for (const {service, stats} of cells) {
        const key = `${instance}/${incarnation}/${service}`;
        bounds.set(key, stats.fairnessViolations);
      }
    }
  }
  for (const [key, count] of bounds) {
    if (count > 0)
      verdict.add('fairness_bound', `${key}: bound exceeded ${count} times`);
  }
}

/** Checks the final configuration and the transitions of all routers. */
async function checkEnd(fleet: Fleet, verdict: Verdict): Promise<void> {
  const {revision} = await fleet.configState();
  await sleep(IN_FORCE_MS);
  for (const router of fleet.routers) {
    const status = (await router.status()) as {revision: number} | undefined;
    if (status?.revision !== revision) {
      const seen = status?.revision;
      verdict.add(
        'configuration',
        `${router.id}: revision ${seen}, but ${revision} on the log`
      );
    }
    const index = fleet.routers.indexOf(router);
    const metrics = await adminPage(fleet, index, '/metrics');
    const invalid = /invalid_transitions_total (\d+)/.exec(metrics)?.[1];
    if (invalid !== '0')
      verdict.add(
        'invalid_transition',
        `${router.id}: ${invalid} invalid transitions`
      );
  }
}

/** Checks that targets got no new requests once their leaving was known. */
function checkDepartures(
  fleet: Fleet,
  faults: FaultSchedule,
  verdict: Verdict
): void {
  for (const {target, leftAtMs, removedAtMs} of faults.departures) {
    const deadline = leftAtMs + LIST_LAG_MS + IN_FORCE_MS;
    const late = fleet.runs.filter(
      run =>
        run.target === target && run.atMs > deadline && run.atMs < removedAtMs
    );
    if (late.length > 0)
      verdict.add(
        'leaving',
        `${target}: ${late.length} runs started after it left`
      );
  }
}

/** Checks all responses, and that every call ended. */
function checkLoad(fleet: Fleet, load: LoadRunner, verdict: Verdict): void {
  for (const v of checkResults(load.results, key => fleet.runCount(key))) {
    verdict.add(v.promise, `${v.call}: ${v.detail}`);
  }
  for (const {call: planned, response} of load.results) {
    if (response.failure === 'timeout') {
      verdict.add('no_starvation', `${planned.id} timed out`);
    }
  }
  if (load.openCalls > 0)
    verdict.add('no_starvation', `${load.openCalls} calls never ended`);
}

/** Prints how the calls ended, and the faults that were drawn. */
function printLoad(load: LoadRunner, faults: FaultSchedule): void {
  const outcomes = new Map<string, number>();
  for (const {response} of load.results) {
    const type = refusalOf(response)?.type ?? (response.failure || 'answered');
    outcomes.set(type, (outcomes.get(type) ?? 0) + 1);
  }
  console.log(`requests | ${load.results.length}`);
  for (const [type, count] of outcomes) console.log(`    ${type} ${count}`);
  console.log('faults injected');
  for (const [name, count] of faults.counts)
    console.log(`    ${name} ${count}`);
}

/**
 * Runs a fleet under load and faults and checks every promise; returns whether
 * all were kept.
 */
async function soak(seconds: number, seed: number): Promise<boolean> {
  const fleet = await createSiteFleet({
    policy: POLICY_NAME.dispatched,
    config: siteConfig(1),
    listLagMs: LIST_LAG_MS,
    logLevel: values.verbose ? 'debug' : 'error',
  });
  const balancer = Balancer.create(fleet);
  const verdict = new Verdict();
  try {
    const load = LoadRunner.create(fleet, TIMEOUT_MS);
    load.repeatBookings = true;
    const sampler = Sampler.create(fleet, load);
    const faults = FaultSchedule.create(fleet, seed);
    const stop = new AbortController();
    const scale = Number(values.scale);
    const calls = planCalls({seconds, seed, scale, routers: ROUTERS});
    sampler.start();
    const crashingRequests = sendCrashingRequests(fleet, verdict, stop.signal);
    await Promise.all([load.send(calls), faults.run(seconds - 5)]);
    stop.abort();
    await crashingRequests;
    await Promise.race([load.finish(), sleep(DRAIN_MS)]);
    await sampler.stop();
    checkLoad(fleet, load, verdict);
    checkDepartures(fleet, faults, verdict);
    checkSamples(sampler.samples, verdict);
    await checkEnd(fleet, verdict);
    printLoad(load, faults);
    verdict.print(PROMISES);
    return verdict.clean;
  } finally {
    balancer.stop();
    await fleet.stop();
  }
}

const seconds = Number(values.seconds);
const seed = Number(values.seed);
console.log(`soak: ${seconds} s, seed ${seed}, scale ${values.scale}`);
const clean = await soak(seconds, seed);
console.log(clean ? 'soak: no violations' : 'soak: promises were broken');
process.exit(clean ? 0 : 1);
