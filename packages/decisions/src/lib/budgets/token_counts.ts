/**
 * Numbers of tokens by the name of the account. A name may be any text, also that
 * of a property that all objects have.
 */

/** Numbers of tokens, by the name of the account. */
export type TokenCounts = Record<string, number>;

/** Returns the number for an account; undefined if there is none. */
export function tokensOf(
  counts: Readonly<TokenCounts>,
  account: string,
): number | undefined {
  return Object.hasOwn(counts, account) ? counts[account] : undefined;
}

/** Sets the number for an account. */
export function setTokens(
  counts: TokenCounts,
  account: string,
  tokens: number,
): void {
  // An assignment to `__proto__` would change the prototype.
  Object.defineProperty(counts, account, {
    value: tokens,
    configurable: true,
    enumerable: true,
    writable: true,
  });
}
