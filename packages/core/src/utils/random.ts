import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a uniformly distributed random number in [0, 1). */
export type Random = () => number;

/**
 * Creates a pseudo-random number generator. The same seed gives the same
 * sequence of numbers.
 *
 * @example
 * ```ts
 * createRandom(7)() === createRandom(7)(); // true
 * ```
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Returns a sample of the normal distribution with mean 0 and variance 1.
 *
 * @example
 * ```ts
 * const score = 0.7 + 0.1 * sampleNormal(random);
 * ```
 */
export function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

/**
 * Returns a sample of the exponential distribution with the given mean.
 *
 * @example
 * ```ts
 * const gapMs = sampleExponential(random, 50);
 * ```
 */
export function sampleExponential(random: Random, mean: number): number {
  return -mean * Math.log(1 - random());
}
