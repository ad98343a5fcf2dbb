/** Generators for what is drawn apart from the other faults of a run. */
import {seededRandom} from '@citrontrestle/runtime';

/** First numbers of a generator, which are alike for seeds that are close. */
const SKIPPED_DRAWS = 16;

/**
 * Returns a generator of numbers in [0, 1) that the other faults of a seed do not
 * depend on.
 * @param offset tells it from the other generators of the seed.
 */
export function apartRandom(seed: number, offset: number): () => number {
  const random = seededRandom(seed + offset);
  for (let count = 0; count < SKIPPED_DRAWS; count++) {
    random();
  }
  return random;
}
