/** Hashes texts to 32 bits. */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Returns the FNV-1a hash of a text as an unsigned 32-bit integer.
 * @param start hash of the text that precedes it, if any.
 */
export function textHash(text: string, start = FNV_OFFSET): number {
  let hash = start;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  }
  return hash;
}
