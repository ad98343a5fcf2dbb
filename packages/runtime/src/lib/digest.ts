/** Digests, random identifiers and comparison of secrets. */
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

/** Length of the digests in ledgers, in hex digits. */
const SHORT_DIGEST_LENGTH = 16;

/** SHA-256 of a text or of bytes, in hex. */
export function sha256(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * First 8 bytes of the SHA-256 of some strings, in hex. Each string is hashed
 * with its length, so that ("ab", "c") and ("a", "bc") differ.
 */
export function shortDigest(...texts: string[]): string {
  const hash = createHash('sha256');
  for (const text of texts) {
    hash.update(`${text.length}:${text}`);
  }
  return hash.digest('hex').slice(0, SHORT_DIGEST_LENGTH);
}

/** A random identifier of `bytes` bytes, in hex. */
export function randomId(bytes = 8): string {
  return randomBytes(bytes).toString('hex');
}

/** Compares two secrets in constant time, to prevent timing attacks. */
export function secretsEqual(first: string, second: string): boolean {
  const firstHash = createHash('sha256').update(first).digest();
  const secondHash = createHash('sha256').update(second).digest();
  return timingSafeEqual(firstHash, secondHash);
}
