/** Names of the keys in the key-value service. */

/** Key of the pointer to the configuration in force. */
export const CONFIGURATION_HEAD_KEY = 'config/head';

/** Key of the set of declarations with this digest. */
export function declarationsKey(digest: string): string {
  return `config/declarations/${digest}`;
}

/** Key of a partition of the ledger, by its number. */
export function ledgerKey(partition: number): string {
  return `ledger/${partition}`;
}

/** Key of the record of a request that must not run twice, by its digest. */
export function executionRecordKey(digest: string): string {
  return `order/${digest}`;
}
