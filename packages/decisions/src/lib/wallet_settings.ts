/** Settings of a wallet. */
import {BudgetPolicy} from './budget_policy.js';
import {SECOND} from './clock.js';
import type {Millis} from './clock.js';
import type {ShareLimits} from './budget_policy.js';

/** Settings of a wallet. */
export interface WalletSettings {
  policy: BudgetPolicy;
  /** Identity of this incarnation, unique for ever. */
  holder: string;
  instance: string;
  /** Availability zone of this entry. */
  zone: string;
  /** Number of ledger partitions. */
  partitions: number;
  /** Entries that the deployment is declared to have. */
  entries: number;
  limits: ShareLimits;
  /** Longest time that a charge waits to be written by its keeper. */
  settleInterval: Millis;
  /** Longest time that a charge with a copy waits for its owner's write. */
  ownInterval: Millis;
  /** Shortest time between two writes of a partition. */
  spacing: Millis;
  /** Longest time that a reservation waits. */
  patience: Millis;
  /** Longest time that a charge waits for a copy or the ledger. */
  securePatience: Millis;
  /** How long bills are kept against duplicates. */
  window: Millis;
  /** Most peers asked for tokens at once. */
  askedPeers: number;
}

/** Settings that suit most deployments. */
export const WALLET_DEFAULTS: Omit<
  WalletSettings,
  'holder' | 'instance' | 'zone' | 'partitions' | 'entries'
> = {
  policy: BudgetPolicy.Shares,
  limits: {horizon: 180 * SECOND, cap: 0.008},
  settleInterval: 5 * SECOND,
  ownInterval: 30 * SECOND,
  spacing: 50,
  patience: 400,
  securePatience: 100,
  window: 600 * SECOND,
  askedPeers: 8,
};
