import {hash32, Random} from '@applebend/utils';
import {CustomerShares} from '../lib/admission/customer_shares.js';
import {placeAndAdmit} from '../lib/admission/request_decision.js';
import {UsageRecorder} from '../lib/fairness/usage_recorder.js';
import {FirstEventModel} from '../lib/placement/first_event_model.js';
import {PrefixCache} from '../lib/placement/prefix_cache.js';
import {sessionOf, weightedTokensOf} from '../lib/placement/prompt.js';
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
const ENGINE_COUNT = 6;
/**
 * Half of the weighted tokens per second that the engines start in the
 * simulated load.
 */
const DEFAULT_TOKENS_PER_S = 200_000;
const LATENCY_TARGET_MS = 800;
const SHARE_WINDOW_MS = 4000;
const DURATION_MS = 30_000;
/** Step of the virtual time. */
const TICK_MS = 5;
const SESSION_COUNT = 110;
/** Number of values of `hash32`. */
const HASH32_RANGE = 0x100000000;

/** The outcomes of one customer's requests over the whole simulation. */
export interface CustomerTotals {
  requests: number;
  refused: number;
  /** Requests whose first event came within the latency target. */
  onTime: number;
  /** Weighted tokens of the admitted requests. */
  admittedTokens: number;
}

/** Returns the requests per second of each customer at a virtual time. */
export type Demand = (nowMs: number) => readonly number[];

/** The simulated load. */
export interface FleetSimulationOptions {
  /** Determines arrivals and prompts. */
  readonly seed: number;
  /** Has the same number of customers at all times. */
  readonly demand: Demand;
  /**
   * Configured rate in weighted tokens per second; by default half of what the
   * engines start.
   */
  readonly tokensPerS?: number;
  /** Returns how many engines accept no requests at a virtual time. */
  readonly lostEngines?: (nowMs: number) => number;
}

/** An engine with the state that a gateway has about it. */
export interface SimulatedTarget {
  readonly id: string;
  readonly engine: EngineSimulator;
  readonly localLoad: LocalLoad;
  readonly cache: PrefixCache;
}

/** Returns the target of a request, or undefined if the request is refused. */
export type Policy = (
  simulation: FleetSimulation,
  customer: string,
  prompt: Prompt
) => SimulatedTarget | undefined;

/**
 * Simulates the gateway's decisions and the engines in virtual time, for tests.
 * Sessions share long prompt prefixes, and the load usually exceeds what the
 * engines can do.
 */
export class FleetSimulation {
  readonly targets: SimulatedTarget[] = [];
  readonly shares = CustomerShares.create(SHARE_WINDOW_MS);
  readonly model = FirstEventModel.create();
  /** One element per customer. */
  readonly totals: CustomerTotals[];
  /** Usage by second; tokens count as admitted at the request's first event. */
  private readonly recorder = UsageRecorder.create(DURATION_MS / 1000 + 1);
  /** The virtual time. */
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
    for (let i = 0; i < ENGINE_COUNT; i++) {
      this.targets.push({
        id: `engine-${i}`,
        engine: EngineSimulator.create(ENGINE_RATES),
        localLoad: LocalLoad.create(),
        cache: PrefixCache.create(ENGINE_RATES.memoryTokens / 2),
      });
    }
  }

  /** Runs a simulation to its end. */
  static run(options: FleetSimulationOptions, policy: Policy): FleetSimulation {
    const simulation = new FleetSimulation(options, policy);
    while (simulation.nowMs < DURATION_MS) simulation.tick();
    return simulation;
  }

  get timeline(): UsageTimeline {
    return this.recorder.timeline;
  }

  /** Configured rate, in weighted tokens per second. */
  get tokensPerS(): number {
    return this.options.tokensPerS ?? DEFAULT_TOKENS_PER_S;
  }

  /** Targets that accept requests now. */
  get readyTargets(): readonly SimulatedTarget[] {
    const lost = this.options.lostEngines?.(this.nowMs) ?? 0;
    return this.targets.slice(lost);
  }

  /** Average number of prompt tokens prefilled per request. */
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

  private onArrival(customerIndex: number): void {
    const prompt = this.drawPrompt();
    const customer = `customer-${customerIndex}`;
    const totals = this.totals[customerIndex];
    const tokens = weightedTokensOf(prompt);
    totals.requests += 1;
    const target = this.policy(this, customer, prompt);
    const admitted = target === undefined ? 0 : tokens;
    this.shares.add(customer, {requested: tokens, admitted}, this.nowMs);
    const wasRefused = target === undefined;
    this.recordUsage(customer, {requested: tokens, admitted: 0, wasRefused});
    if (target === undefined) {
      totals.refused += 1;
      return;
    }
    totals.admittedTokens += tokens;
    this.send(target, prompt, elapsedMs => {
      this.recordUsage(customer, {
        requested: 0,
        admitted: tokens,
        wasRefused: false,
      });
      if (elapsedMs <= LATENCY_TARGET_MS) totals.onTime += 1;
    });
  }

  private recordUsage(customer: string, usage: SecondUsage): void {
    this.recorder.add(customer, Math.floor(this.nowMs / 1000), usage);
  }

  private send(
    target: SimulatedTarget,
    prompt: Prompt,
    onFirstEvent: (elapsedMs: number) => void
  ): void {
    const sentMs = this.nowMs;
    const queuedTokens = target.localLoad.load.prefillTokens;
    const uncachedTokens =
      prompt.inputTokens - target.cache.cachedTokens(prompt.prefixBlocks);
    target.cache.touch(prompt.prefixBlocks);
    const kvTokens = prompt.inputTokens + prompt.outputTokens;
    const running = target.localLoad.start(uncachedTokens, kvTokens);
    target.engine.submit({
      prompt,
      onFirstEvent: nowMs => {
        running.onFirstEvent();
        this.model.observe(queuedTokens + uncachedTokens, nowMs - sentMs);
        onFirstEvent(nowMs - sentMs);
      },
      onEnd: () => running.onEnd(),
    });
  }

  private drawPrompt(): Prompt {
    const session = this.random.int(0, SESSION_COUNT - 1);
    const ownTokens = Math.round(this.random.exponential(4000)) + 50;
    return {
      prefixBlocks: [
        {id: 'system', tokens: 500},
        {id: `session-${session}`, tokens: 4800},
        {id: `own-${this.random.int(0, 1e9)}`, tokens: ownTokens},
      ],
      inputTokens: 5300 + ownTokens,
      outputTokens: 20 + Math.round(this.random.exponential(250)),
    };
  }
}

/** Picks the target with the fewest requests; never refuses. */
export const leastRequests: Policy = simulation => {
  const sorted = simulation.readyTargets.toSorted(
    (a, b) => a.localLoad.load.running - b.localLoad.load.running
  );
  return sorted[0];
};

/** Places and admits requests as the gateway does. */
export const gatewayPolicy: Policy = (simulation, customer, prompt) => {
  const candidates = simulation.readyTargets.map(target =>
    candidateOf(simulation, target, prompt)
  );
  const decision = placeAndAdmit(candidates, {
    kvTokens: prompt.inputTokens + prompt.outputTokens,
    latencyTargetMs: LATENCY_TARGET_MS,
    leftMs: 15_000,
    shareStatus: simulation.shares.statusOf(
      customer,
      simulation.tokensPerS,
      simulation.nowMs
    ),
    resume: undefined,
    windowMs: SHARE_WINDOW_MS,
    spread: 0.5,
  });
  if (decision?.admission.kind !== 'admit') return undefined;
  const {id} = decision.placement.candidate;
  return simulation.targets.find(target => target.id === id);
};

function candidateOf(
  simulation: FleetSimulation,
  target: SimulatedTarget,
  prompt: Prompt
): Candidate {
  const load = target.localLoad.load;
  const cached = target.cache.cachedTokens(prompt.prefixBlocks);
  const uncachedTokens = prompt.inputTokens - cached;
  return {
    id: target.id,
    load,
    slots: ENGINE_RATES.slots,
    memoryTokens: ENGINE_RATES.memoryTokens,
    uncachedTokens,
    waitMs: simulation.model.prefillMs(load.prefillTokens),
    prefillMs: simulation.model.prefillMs(uncachedTokens),
    sameFailureDomain: true,
    failureRate: 0,
    rendezvousRank: hash32(`${sessionOf(prompt)}@${target.id}`) / HASH32_RANGE,
  };
}
