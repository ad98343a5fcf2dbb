/** Reproducible random numbers. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Exclusive bound of the integers that the generator is asked for. */
const UPPER_BOUND = 0x7fffffff;

/** Returns a generator of uniform numbers in [0, 1), determined by its seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, UPPER_BOUND - 1) / UPPER_BOUND;
}
