/** Reproducible random numbers. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

const RANGE = 0x7fffffff;

/** Returns a generator of uniform numbers in [0, 1), determined by its seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANGE - 1) / RANGE;
}
