import {PrefixCache} from '../lib/placement/prefix_cache.js';

import type {Prompt} from '../lib/placement/prompt.js';

/** The capacity and speed of an engine. */
export interface EngineRates {
  /** Number of requests in one batch. */
  readonly slots: number;
  /** Tokens that fit its memory; half of it is the prefix cache. */
  readonly memoryTokens: number;
  /** Time of a decoding step, without the time per request in the batch. */
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly prefillTokensPerMs: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
}

/** A request at the engine. Callbacks get the virtual time. */
export interface EngineJob {
  readonly prompt: Prompt;
  readonly onFirstEvent: (nowMs: number) => void;
  readonly onEnd: (nowMs: number) => void;
}

interface RunningJob extends EngineJob {
  prefillTokensLeft: number;
  generatedTokens: number;
}

/** Most prompt tokens that are prefilled in one step. */
const PREFILL_CHUNK_TOKENS = 2048;

/**
 * Simulates a model engine in virtual time, for tests. It uses continuous
 * batching, prefills one prompt at a time in chunks that lengthen the decoding
 * steps of all, admits requests in order of arrival, and has an LRU prefix
 * cache.
 */
export class EngineSimulator {
  /** Prompt tokens that were or will be prefilled for admitted requests. */
  prefilledTokens = 0;
  /** Requests that were admitted to the batch. */
  admittedRequests = 0;
  private nowMs = 0;
  private readonly waiting: EngineJob[] = [];
  private running: RunningJob[] = [];
  private readonly cache: PrefixCache;

  private constructor(private readonly rates: EngineRates) {
    this.cache = PrefixCache.create(rates.memoryTokens / 2);
  }

  static create(rates: EngineRates): EngineSimulator {
    return new EngineSimulator(rates);
  }

  submit(job: EngineJob): void {
    this.waiting.push(job);
  }

  /** Advances the virtual time; the last step may end after `untilMs`. */
  runUntil(untilMs: number): void {
    while (this.nowMs < untilMs) {
      this.admit();
      if (this.running.length === 0) {
        this.nowMs = untilMs;
        return;
      }
      this.step();
    }
  }

  private admit(): void {
    while (this.running.length < this.rates.slots) {
      const job = this.waiting.shift();
      if (job === undefined) return;
      const {prefixBlocks, inputTokens} = job.prompt;
      const uncachedTokens =
        inputTokens - this.cache.cachedTokens(prefixBlocks);
      this.prefilledTokens += uncachedTokens;
      this.admittedRequests += 1;
      this.cache.touch(prefixBlocks);
      this.running.push({
        ...job,
        prefillTokensLeft: uncachedTokens,
        generatedTokens: 0,
      });
    }
  }

  private step(): void {
    const {stepMs, stepMsPerRequest, prefillTokensPerMs} = this.rates;
    const prefilling = this.running.find(job => job.prefillTokensLeft > 0);
    const chunk = Math.min(
      PREFILL_CHUNK_TOKENS,
      prefilling?.prefillTokensLeft ?? 0
    );
    const batchMs = stepMs + stepMsPerRequest * this.running.length;
    this.nowMs += batchMs + chunk / prefillTokensPerMs;
    for (const job of this.running) this.advance(job);
    if (prefilling !== undefined) prefilling.prefillTokensLeft -= chunk;
    this.running = this.running.filter(
      job => job.generatedTokens < job.prompt.outputTokens
    );
  }

  private advance(job: RunningJob): void {
    if (job.prefillTokensLeft > 0) return;
    job.generatedTokens += 1;
    const {tokensPerEvent} = this.rates;
    const {outputTokens} = job.prompt;
    if (job.generatedTokens === Math.min(tokensPerEvent, outputTokens)) {
      job.onFirstEvent(this.nowMs);
    }
    if (job.generatedTokens === outputTokens) job.onEnd(this.nowMs);
  }
}
