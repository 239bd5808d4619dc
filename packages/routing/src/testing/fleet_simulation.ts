/**
 * The load of a heavy day, played through the decisions against the engine
 * model in virtual time: more is asked than the engines can do, and sessions
 * share long prompt parts. For tests.
 */
import {hash32, Random} from '@applebend/utils';
import {placeAndAdmit} from '../lib/admission/request_decision.js';
import {CustomerShares} from '../lib/admission/customer_shares.js';
import {UsageRecorder} from '../lib/fairness/usage_recorder.js';
import {FirstEventModel} from '../lib/placement/first_event_model.js';
import {PrefixCache} from '../lib/placement/prefix_cache.js';
import {weightedTokensOf, sessionOf} from '../lib/placement/prompt.js';
import {LocalLoad} from '../lib/placement/target_load.js';
import {EngineSimulator} from './engine_simulator.js';

import type {
  SecondUsage,
  UsageTimeline,
} from '../lib/fairness/fairness_windows.js';
import type {Candidate} from '../lib/placement/placer.js';
import type {Prompt} from '../lib/placement/prompt.js';

const ENGINE_RATES = {
  slots: 48,
  memoryTokens: 600_000,
  stepMs: 3.8,
  stepMsPerRequest: 0.09,
  prefillTokensPerMs: 56,
  tokensPerEvent: 5,
};
const ENGINES = 6;
/** Half of what the engines begin on these days. */
const DEFAULT_TOKENS_PER_S = 200_000;
const LATENCY_TARGET_MS = 800;
const WINDOW_MS = 4000;
const DURATION_MS = 30_000;
const TICK_MS = 5;
const SESSIONS = 110;
const HASH_RANGE = 0x100000000;

/** What one customer got in the whole day; `given` in weighted tokens. */
export interface CustomerTotals {
  requests: number;
  refused: number;
  onTime: number;
  admittedTokens: number;
}

/** Requests a second of each customer at a moment of the day. */
export type Demand = (nowMs: number) => readonly number[];

/** A day's load; the seed draws arrivals and prompts. */
export interface FleetSimulationOptions {
  readonly seed: number;
  readonly demand: Demand;
  /** Configured rate, in weighted tokens; half of what begins by default. */
  readonly tokensPerS?: number;
  /** Engines that take no work at a moment of the day. */
  readonly lostEngines?: (nowMs: number) => number;
}

export interface SimulatedTarget {
  readonly id: string;
  readonly engine: EngineSimulator;
  readonly localLoad: LocalLoad;
  readonly cache: PrefixCache;
}

/** One policy: the target of a prompt, or nothing where it is refused. */
export type Policy = (
  day: FleetSimulation,
  customer: string,
  prompt: Prompt
) => SimulatedTarget | undefined;

export class FleetSimulation {
  readonly targets: SimulatedTarget[] = [];
  readonly shares = CustomerShares.create(WINDOW_MS);
  readonly model = FirstEventModel.create();
  readonly totals: CustomerTotals[];
  /** Uses by second; service counts where its first event comes. */
  private readonly recorder = UsageRecorder.create(DURATION_MS / 1000 + 1);
  nowMs = 0;
  private readonly random: Random;

  private constructor(
    private readonly options: FleetSimulationOptions,
    private readonly policy: Policy
  ) {
    this.random = Random.create(options.seed);
    this.totals = options.demand(0).map(() => ({
      requests: 0,
      refused: 0,
      onTime: 0,
      admittedTokens: 0,
    }));
    for (let i = 0; i < ENGINES; i++) {
      this.targets.push({
        id: `engine-${i}`,
        engine: EngineSimulator.create(ENGINE_RATES),
        localLoad: LocalLoad.create(),
        cache: PrefixCache.create(ENGINE_RATES.memoryTokens / 2),
      });
    }
  }

  static run(options: FleetSimulationOptions, policy: Policy): FleetSimulation {
    const day = new FleetSimulation(options, policy);
    while (day.nowMs < DURATION_MS) day.tick();
    return day;
  }

  get timeline(): UsageTimeline {
    return this.recorder.timeline;
  }

  /** Configured rate, in weighted tokens. */
  get tokensPerS(): number {
    return this.options.tokensPerS ?? DEFAULT_TOKENS_PER_S;
  }

  /** Targets that take work now. */
  get readyTargets(): readonly SimulatedTarget[] {
    const lost = this.options.lostEngines?.(this.nowMs) ?? 0;
    return this.targets.slice(lost);
  }

  /** Prompt tokens that were read for each request that began. */
  get prefillPerRequest(): number {
    let prefilled = 0;
    let admitted = 0;
    for (const {engine} of this.targets) {
      prefilled += engine.prefilledTokens;
      admitted += engine.admittedRequests;
    }
    return prefilled / admitted;
  }

  private tick(): void {
    this.nowMs += TICK_MS;
    for (const {engine} of this.targets) engine.runUntil(this.nowMs);
    for (const [index, perS] of this.options.demand(this.nowMs).entries()) {
      if (this.random.chance((perS * TICK_MS) / 1000)) this.onArrival(index);
    }
  }

  private onArrival(index: number): void {
    const prompt = this.drawPrompt();
    const customer = `customer-${index}`;
    const totals = this.totals[index];
    const cost = weightedTokensOf(prompt);
    totals.requests += 1;
    const target = this.policy(this, customer, prompt);
    const admitted = target === undefined ? 0 : cost;
    this.shares.add(customer, {requested: cost, admitted}, this.nowMs);
    const wasRefused = target === undefined;
    this.recordUsage(customer, {requested: cost, admitted: 0, wasRefused});
    if (target === undefined) {
      totals.refused += 1;
      return;
    }
    totals.admittedTokens += cost;
    this.send(target, prompt, elapsedMs => {
      this.recordUsage(customer, {requested: 0, admitted: cost, wasRefused: false});
      if (elapsedMs <= LATENCY_TARGET_MS) totals.onTime += 1;
    });
  }

  private recordUsage(customer: string, use: SecondUsage): void {
    this.recorder.add(customer, Math.floor(this.nowMs / 1000), use);
  }

  private send(
    target: SimulatedTarget,
    prompt: Prompt,
    onFirstEvent: (elapsedMs: number) => void
  ): void {
    const sentMs = this.nowMs;
    const ahead = target.localLoad.load.prefillTokens;
    const unread =
      prompt.inputTokens - target.cache.cachedTokens(prompt.prefixBlocks);
    target.cache.touch(prompt.prefixBlocks);
    const kvTokens = prompt.inputTokens + prompt.outputTokens;
    const running = target.localLoad.start(unread, kvTokens);
    target.engine.submit({
      prompt,
      onFirstEvent: nowMs => {
        running.onFirstEvent();
        this.model.observe(ahead + unread, nowMs - sentMs);
        onFirstEvent(nowMs - sentMs);
      },
      onEnd: () => running.onEnd(),
    });
  }

  private drawPrompt(): Prompt {
    const session = this.random.int(0, SESSIONS - 1);
    const own = Math.round(this.random.exponential(4000)) + 50;
    return {
      prefixBlocks: [
        {id: 'system', tokens: 500},
        {id: `session-${session}`, tokens: 4800},
        {id: `own-${this.random.int(0, 1e9)}`, tokens: own},
      ],
      inputTokens: 5300 + own,
      outputTokens: 20 + Math.round(this.random.exponential(250)),
    };
  }
}

/** The target with the fewest requests, with no regard to anything else. */
export const leastRequests: Policy = day => {
  const byLoad = day.readyTargets.toSorted(
    (a, b) => a.localLoad.load.running - b.localLoad.load.running
  );
  return byLoad[0];
};

/** The policy of the gateway. */
export const gatewayPolicy: Policy = (day, customer, prompt) => {
  const candidates = day.readyTargets.map(target =>
    candidateOf(day, target, prompt)
  );
  const decision = placeAndAdmit(candidates, {
    kvTokens: prompt.inputTokens + prompt.outputTokens,
    latencyTargetMs: LATENCY_TARGET_MS,
    leftMs: 15_000,
    shareStatus: day.shares.statusOf(customer, day.tokensPerS, day.nowMs),
    windowMs: WINDOW_MS,
    spread: 0.5,
  });
  if (decision?.admission.kind !== 'admit') return undefined;
  const {id} = decision.placement.candidate;
  return day.targets.find(target => target.id === id);
};

function candidateOf(day: FleetSimulation, target: SimulatedTarget, prompt: Prompt): Candidate {
  const load = target.localLoad.load;
  const cached = target.cache.cachedTokens(prompt.prefixBlocks);
  const uncachedTokens = prompt.inputTokens - cached;
  return {
    id: target.id,
    load,
    slots: ENGINE_RATES.slots,
    memoryTokens: ENGINE_RATES.memoryTokens,
    uncachedTokens,
    waitMs: day.model.prefillMs(load.prefillTokens),
    prefillMs: day.model.prefillMs(uncachedTokens),
    sameFailureDomain: true,
    failureRate: 0,
    rendezvousRank: hash32(`${sessionOf(prompt)}@${target.id}`) / HASH_RANGE,
  };
}
