import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Number of different values that `uniform` returns. */
const UNIFORM_STEPS = 0x7fffffff;

/** A pseudorandom generator; a seed always gives the same numbers. @public */
export class Random {
  private constructor(private readonly generator: RandomGenerator) {}

  static create(seed: number): Random {
    return new Random(xoroshiro128plus(seed | 0));
  }

  /** An integer from `low` to `high`, both included. */
  int(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  /** A number from 0 (included) to 1 (excluded), uniformly distributed. */
  uniform(): number {
    return this.int(0, UNIFORM_STEPS - 1) / UNIFORM_STEPS;
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.uniform() < probability;
  }

  /** A number from the exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** A random element of `items`, which must not be empty. */
  pick<T>(items: readonly T[]): T {
    return items[this.int(0, items.length - 1)];
  }
}
