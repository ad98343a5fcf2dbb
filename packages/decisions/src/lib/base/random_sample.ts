/** Random selection. */

/**
 * Returns up to `maxCount` randomly chosen items, each at most once.
 * @param random returns a uniformly distributed number in [0, 1).
 */
export function randomSample<T>(
  items: readonly T[],
  maxCount: number,
  random: () => number,
): T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (picked.length < maxCount && remaining.length > 0) {
    const index = Math.floor(random() * remaining.length);
    picked.push(...remaining.splice(index, 1));
  }
  return picked;
}
