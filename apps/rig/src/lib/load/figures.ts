import {build} from 'hdr-histogram-js';
import {CUSTOMERS} from './site.js';

import type {RunRecord} from '../fleet.js';
import type {CallResult} from './load_runner.js';
import type {FleetSample, RouterSample} from './sampler.js';

/** The figures of one run, under the names that the report prints. */
export interface Figures {
  /** Largest difference in service, in weighted tokens per share. */
  readonly fairness_gap: number;
  /** The same without requests granted before the backlog built up. */
  readonly fairness_gap_settled: number;
  /** The largest gap that a dispatcher counted. */
  readonly ledger_gap: number;
  /** The bound that the dispatcher derived for that gap. */
  readonly ledger_bound: number;
  /** How often dispatchers saw a gap above its bound. */
  readonly bound_violations: number;
  /** Grants that exceeded a target's limit, as dispatchers counted them. */
  readonly over_limit: number;
  /** Fraction of the engine slots in use. */
  readonly utilisation: number;
  /** Fraction of the engine slots that were free while calls waited. */
  readonly idle_while_waiting: number;
  /** From the start of a model call at its engine to its first token. */
  readonly first_token_p95_s: number;
  /** Between consecutive chunks of a stream. */
  readonly between_tokens_p95_ms: number;
  /** From sending a model call of a small customer to its start. */
  readonly small_customer_wait_p95_s: number;
  /** From sending a short call to its start, without the flooding customer. */
  readonly short_call_wait_p95_s: number;
  /** Calls with status 200 and a complete response. */
  readonly answered: number;
  /** Calls with status 429, 503 or 504. */
  readonly refused: number;
  /** All other calls. */
  readonly failed: number;
  /** Bytes per second on the links of a router: mean and maximum. */
  readonly control_bytes_s: number;
  readonly control_bytes_s_max: number;
  /** Fraction of a core spent on control: mean and maximum. */
  readonly control_cpu_part: number;
  readonly control_cpu_part_max: number;
  /** Mean fraction of a core that a router used. */
  readonly cpu_part: number;
  /** Largest resident memory of a router. */
  readonly rss_mb: number;
}

const MS_PER_S = 1000;
const MB = 1024 * 1024;
const P95 = 95;
/** Longer than any request of the load runs at its target. */
const SETTLE_MS = 10_000;
const US_PER_MS = 1000;

/** Returns the figures of one run. */
export function figuresOf(
  samples: readonly FleetSample[],
  results: readonly CallResult[],
  runs: readonly RunRecord[]
): Figures {
  const startOf = new Map(runs.map(run => [run.key, run.atMs]));
  const waits = (matches: (result: CallResult) => boolean) =>
    results
      .filter(result => matches(result) && startOf.has(result.call.id))
      .map(r => (startOf.get(r.call.id) ?? 0) - r.response.sentAtMs);
  const {status, model} = {
    status: (r: CallResult) => r.response.status,
    model: (r: CallResult) => r.call.maxTokens > 0,
  };
  const firstTokens = results
    .filter(r => model(r) && r.response.firstByteAtMs !== undefined)
    .filter(r => status(r) === 200 && startOf.has(r.call.id))
    .map(r => (r.response.firstByteAtMs ?? 0) - (startOf.get(r.call.id) ?? 0));
  return {
    fairness_gap: fairnessGap(samples),
    fairness_gap_settled: fairnessGap(samples, SETTLE_MS),
    ...dispatcherFigures(samples),
    ...slotFigures(samples),
    first_token_p95_s: p95(firstTokens) / MS_PER_S,
    between_tokens_p95_ms: p95(tokenGaps(results.filter(model))),
    small_customer_wait_p95_s:
      p95(waits(r => r.call.customer.size === 'small' && model(r))) / MS_PER_S,
    short_call_wait_p95_s:
      p95(
        waits(r => r.call.kind === 'check' && r.call.customer.size !== 'flood')
      ) / MS_PER_S,
    answered: results.filter(r => status(r) === 200 && r.response.complete)
      .length,
    refused: results.filter(r => [429, 503, 504].includes(status(r))).length,
    failed: results.filter(
      r =>
        ![429, 503, 504].includes(status(r)) &&
        !(status(r) === 200 && r.response.complete)
    ).length,
    ...controlFigures(samples),
  };
}

/**
 * Returns the largest difference in service between two customers over any
 * time in which both had requests waiting. With `settleMs`, the comparison
 * starts that much later, when requests granted earlier have ended.
 */
export function fairnessGap(
  samples: readonly FleetSample[],
  settleMs = 0
): number {
  const comparableFrom: (number | undefined)[] = CUSTOMERS.map(() => undefined);
  let largest = 0;
  for (const [now, sample] of samples.entries()) {
    for (const i of CUSTOMERS.keys()) {
      if ((sample.waiting[i] ?? 0) === 0) comparableFrom[i] = undefined;
      else comparableFrom[i] ??= firstAfter(samples, sample.atMs + settleMs);
    }
    for (const i of CUSTOMERS.keys()) {
      for (let j = 0; j < i; j++) {
        largest = Math.max(largest, gapOf(samples, now, i, j, comparableFrom));
      }
    }
  }
  return largest;
}

/** Returns the index of the first sample at or after a time. */
function firstAfter(samples: readonly FleetSample[], atMs: number): number {
  const index = samples.findIndex(sample => sample.atMs >= atMs);
  return index < 0 ? samples.length : index;
}

/** Returns the gap between customers `i` and `j` at the sample `now`. */
function gapOf(
  samples: readonly FleetSample[],
  now: number,
  i: number,
  j: number,
  comparableFrom: readonly (number | undefined)[]
): number {
  const [a, b] = [comparableFrom[i], comparableFrom[j]];
  if (a === undefined || b === undefined) return 0;
  if (Math.max(a, b) >= now) return 0;
  const start = samples[Math.max(a, b)];
  const end = samples[now];
  if (start === undefined || end === undefined) return 0;
  const received = (customer: number) =>
    ((end.service[customer] ?? 0) - (start.service[customer] ?? 0)) /
    (CUSTOMERS[customer]?.share ?? 1);
  return Math.abs(received(i) - received(j));
}

/**
 * Returns the slots in use, and the slots free while calls waited, as fractions
 * of all slots.
 */
export function slotFigures(samples: readonly FleetSample[]): {
  utilisation: number;
  idle_while_waiting: number;
} {
  let slots = 0;
  let busy = 0;
  let idle = 0;
  for (const sample of samples) {
    slots += sample.slots;
    busy += sample.busySlots;
    idle += Math.min(sample.slots - sample.busySlots, sample.queued);
  }
  return {utilisation: busy / slots, idle_while_waiting: idle / slots};
}

/**
 * Returns the figures that dispatchers counted. Counters are cumulative for
 * each incarnation, so the last value of each is added up.
 */
function dispatcherFigures(samples: readonly FleetSample[]) {
  let gap = 0;
  let bound = 0;
  const violations = new Map<string, number>();
  const overLimit = new Map<string, number>();
  for (const {routers} of samples) {
    for (const {incarnation, cells} of routers) {
      for (const {service, stats} of cells) {
        if (stats.fairnessGap > gap) {
          gap = stats.fairnessGap;
          bound = stats.fairnessBound;
        }
        const key = `${incarnation}/${service}`;
        violations.set(key, stats.fairnessViolations);
        overLimit.set(key, stats.overLimit);
      }
    }
  }
  const sum = (counts: Map<string, number>) =>
    [...counts.values()].reduce((a, b) => a + b, 0);
  return {
    ledger_gap: gap,
    ledger_bound: bound,
    bound_violations: sum(violations),
    over_limit: sum(overLimit),
  };
}

function controlFigures(samples: readonly FleetSample[]) {
  const rates = routerSpans(samples).map(({first, last, seconds}) => {
    const bytes = (s: RouterSample) =>
      s.traffic.sentBytes + s.traffic.receivedBytes;
    return {
      bytes: (bytes(last) - bytes(first)) / seconds,
      control: (last.controlSeconds - first.controlSeconds) / seconds,
      cpu: (last.cpuSeconds - first.cpuSeconds) / seconds,
      rss: last.rssBytes / MB,
    };
  });
  const mean = (values: number[]) =>
    values.reduce((a, b) => a + b, 0) / Math.max(1, values.length);
  return {
    control_bytes_s: mean(rates.map(r => r.bytes)),
    control_bytes_s_max: Math.max(...rates.map(r => r.bytes)),
    control_cpu_part: mean(rates.map(r => r.control)),
    control_cpu_part_max: Math.max(...rates.map(r => r.control)),
    cpu_part: mean(rates.map(r => r.cpu)),
    rss_mb: Math.max(...rates.map(r => r.rss)),
  };
}

/**
 * Returns the first and last sample of each incarnation of each router, without
 * those that span 2 s or less.
 */
function routerSpans(samples: readonly FleetSample[]) {
  const spans = new Map<
    string,
    {first: RouterSample; last: RouterSample; startMs: number; endMs: number}
  >();
  for (const {routers, atMs} of samples) {
    for (const router of routers) {
      const span = spans.get(router.incarnation);
      if (span === undefined) {
        const first = router;
        const last = router;
        const startMs = atMs;
        spans.set(router.incarnation, {first, last, startMs, endMs: atMs});
      } else {
        span.last = router;
        span.endMs = atMs;
      }
    }
  }
  return [...spans.values()]
    .map(span => ({...span, seconds: (span.endMs - span.startMs) / MS_PER_S}))
    .filter(span => span.seconds > 2);
}

/** Returns the times between consecutive chunks of the responses. */
function tokenGaps(results: readonly CallResult[]): number[] {
  const gaps: number[] = [];
  for (const {response} of results) {
    const times = response.chunkTimesMs;
    for (let i = 1; i < times.length; i++) {
      gaps.push((times[i] ?? 0) - (times[i - 1] ?? 0));
    }
  }
  return gaps;
}

/** Returns the 95th percentile in milliseconds, at a resolution of 1 us. */
function p95(valuesMs: readonly number[]): number {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const value of valuesMs) {
    histogram.recordValue(Math.max(0, Math.round(value * US_PER_MS)));
  }
  return histogram.getValueAtPercentile(P95) / US_PER_MS;
}
