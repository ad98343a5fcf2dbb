/** Settings of a wallet and their defaults. */
import {BudgetPolicy} from './budget_policy.js';
import {SECOND} from '../base/clock.js';
import type {Millis} from '../base/clock.js';
import type {ShareLimits} from './budget_policy.js';

/** Settings of a wallet. */
export interface WalletSettings {
  /** How the budgets are divided among the entries. */
  policy: BudgetPolicy;
  /** Identity of this incarnation of the entry; never used again. */
  holder: string;
  /** Name of the instance; the same for each incarnation. */
  instance: string;
  /** Availability zone of this entry. */
  zone: string;
  /** Number of ledger partitions. */
  partitionCount: number;
  /** Number of entries declared for the deployment. */
  declaredEntries: number;
  /** Parameters of the target size of a share. */
  shareLimits: ShareLimits;
  /** Maximum time until the peer with the copy of a charge writes it. */
  copySettleInterval: Millis;
  /** Maximum time until the owner writes a charge that a peer has a copy of. */
  ownerSettleInterval: Millis;
  /** Minimum time between two writes of a ledger partition. */
  minWriteInterval: Millis;
  /** Maximum time that a request or a peer waits for tokens. */
  maxReservationWait: Millis;
  /** Maximum time that a request waits until its charge is secured. */
  maxSecureWait: Millis;
  /** How long the ledger keeps bills, to detect duplicate charges. */
  billRetention: Millis;
  /** Maximum number of peers asked for tokens at once. */
  maxPeersAsked: number;
}

/** Defaults of the settings that don't depend on the entry or deployment. */
export const WALLET_DEFAULTS: Omit<
  WalletSettings,
  'holder' | 'instance' | 'zone' | 'partitionCount' | 'declaredEntries'
> = {
  policy: BudgetPolicy.Shares,
  shareLimits: {horizon: 180 * SECOND, maxGrantFraction: 0.008},
  copySettleInterval: 5 * SECOND,
  ownerSettleInterval: 30 * SECOND,
  minWriteInterval: 50,
  maxReservationWait: 400,
  maxSecureWait: 100,
  billRetention: 600 * SECOND,
  maxPeersAsked: 8,
};
