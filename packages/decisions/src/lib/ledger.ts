/**
 * The ledger: one value of the key-value service for each partition of the
 * budgets. Every function here changes a ledger that the caller owns; the
 * caller writes it back by compare-and-swap.
 *
 * Invariant: for each budget, the sum of `taken - returned` over all holders
 * never exceeds `granted`, and a holder never commits more than it holds.
 */
import type {Millis} from './clock.js';

/** State of a holder, that is of one incarnation of an entry. */
export enum HolderStatus {
  Open = 'open',
  /** An operator stated that the instance is gone; shares not yet released. */
  Closing = 'closing',
  /** Left by itself, or released; the ledger no longer names it. */
  Gone = 'gone',
}

/** One incarnation of an entry, as known to one ledger partition. */
export interface Holder {
  instance: string;
  status: HolderStatus;
  /** Number of the last batch of this holder that took effect. */
  sequence: number;
  /** Number of closes that this holder has acted upon. */
  seenCloses: number;
}

/** What one holder took from one budget; all counts in tokens, only growing. */
export interface Share {
  taken: number;
  returned: number;
  billed: number;
  /** Tokens sent to other holders, by holder. */
  sent: Record<string, number>;
  /** Tokens received from other holders, by holder. */
  received: Record<string, number>;
  /** Tokens of `sent` that reached holders which are gone since. */
  delivered: number;
}

/** One prepaid budget; all counts in tokens. */
export interface BudgetRecord {
  /** Total ever prepaid. */
  granted: number;
  /** Identifiers of the top-ups already counted in `granted`. */
  topUps: string[];
  shares: Record<string, Share>;
  /** Sum over the holders whose records were removed. */
  removed: {net: number; billed: number};
}

/** A charge for one request. */
export interface Settlement {
  /** Digest of account, idempotency key and body. */
  digest: string;
  /** Holder whose share pays. */
  holder: string;
  budget: string;
  tokens: number;
  /** When the run began. */
  begun: Millis;
}

/** Who was billed for a request, and when. */
export interface Bill {
  holder: string;
  at: Millis;
}

/** One ledger partition. */
export interface Ledger {
  /** Number of closes stated by operators. */
  closes: number;
  holders: Record<string, Holder>;
  budgets: Record<string, BudgetRecord>;
  /** Bills of the recent window, by digest. */
  bills: Record<string, Bill>;
  /** Charges begun before this time are no longer accepted. */
  prunedBefore: Millis;
}

/** An empty ledger partition. */
export function emptyLedger(): Ledger {
  return {closes: 0, holders: {}, budgets: {}, bills: {}, prunedBefore: 0};
}

/** An empty budget record. */
export function emptyBudget(): BudgetRecord {
  return {
    granted: 0,
    topUps: [],
    shares: {},
    removed: {net: 0, billed: 0},
  };
}

/** Tokens of a budget that are out with holders or billed. */
export function countAllocatedTokens(budget: BudgetRecord): number {
  let total = budget.removed.net;
  for (const share of Object.values(budget.shares)) {
    total += share.taken - share.returned;
  }
  return total;
}

/** Tokens of a budget billed so far. */
export function countBilledTokens(budget: BudgetRecord): number {
  let total = budget.removed.billed;
  for (const share of Object.values(budget.shares)) {
    total += share.billed;
  }
  return total;
}

/** Tokens of a budget that no holder has taken. */
export function countUnallocatedTokens(budget: BudgetRecord): number {
  return budget.granted - countAllocatedTokens(budget);
}

/** Number of open holders of a partition. */
export function countOpenHolders(ledger: Ledger): number {
  let count = 0;
  for (const holder of Object.values(ledger.holders)) {
    count += holder.status === HolderStatus.Open ? 1 : 0;
  }
  return count;
}

/** The share of a holder, made when there is none. */
export function getOrCreateShare(budget: BudgetRecord, holder: string): Share {
  budget.shares[holder] ??= {
    taken: 0,
    returned: 0,
    billed: 0,
    sent: {},
    received: {},
    delivered: 0,
  };
  return budget.shares[holder];
}

/**
 * Raises `granted` once for each top-up identifier.
 * @return whether the top-up was new.
 */
export function topUp(
  ledger: Ledger,
  budgetName: string,
  topUpId: string,
  tokens: number,
): boolean {
  ledger.budgets[budgetName] ??= emptyBudget();
  const budget = ledger.budgets[budgetName];
  if (budget.topUps.includes(topUpId)) {
    return false;
  }
  budget.topUps.push(topUpId);
  budget.granted += tokens;
  return true;
}
