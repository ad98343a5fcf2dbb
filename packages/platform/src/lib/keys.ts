/** Keys of the key-value service. */

/** The pointer to the configuration in force. */
export const HEAD_KEY = 'config/head';

/** Key of a set of declarations. */
export function declarationsKey(digest: string): string {
  return `config/declarations/${digest}`;
}

/** Key of a ledger partition. */
export function ledgerKey(partition: number): string {
  return `ledger/${partition}`;
}

/** Key of an order's record. */
export function orderKey(digest: string): string {
  return `order/${digest}`;
}
