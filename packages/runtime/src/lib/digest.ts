/** Digests by node:crypto. */
import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';

/** Hex digits of the digests that stand in ledgers. */
const SHORT_HEX = 16;

/** SHA-256 in hex. */
export function sha256(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}

/** The first 8 bytes of the SHA-256 of some parts, in hex. */
export function shortDigest(...parts: string[]): string {
  const hash = createHash('sha256');
  for (const part of parts) {
    hash.update(`${part.length}:${part}`);
  }
  return hash.digest('hex').slice(0, SHORT_HEX);
}

/** A random identifier of `bytes` bytes, in hex. */
export function randomId(bytes = 8): string {
  return randomBytes(bytes).toString('hex');
}

/** Compares two strings in a time that does not depend on where they differ. */
export function sameSecret(one: string, two: string): boolean {
  const a = createHash('sha256').update(one).digest();
  const b = createHash('sha256').update(two).digest();
  return timingSafeEqual(a, b);
}
