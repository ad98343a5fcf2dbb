/** Maps that keep a bounded number of entries: those that were set last. */

/** Sets an entry as the newest; of more than `maxSize`, the oldest is dropped. */
export function setNewest<K, V>(
  entries: Map<K, V>,
  key: K,
  value: V,
  maxSize: number,
): void {
  entries.delete(key);
  entries.set(key, value);
  const [oldest] = entries.keys();
  if (entries.size > maxSize && oldest !== undefined) {
    entries.delete(oldest);
  }
}
