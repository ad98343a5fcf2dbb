/**
 * The ledger of prepaid budgets. The budgets are divided into partitions; each
 * partition's ledger is one value in the key-value service. Functions here
 * modify a ledger in memory; the caller writes it back by compare-and-swap.
 *
 * Invariant: for each budget, the sum of `taken - returned` over all holders
 * never exceeds `granted`, and a holder never commits more than it holds.
 */
import type {Millis} from '../base/clock.js';

/**
 * State of a holder. A holder is one incarnation of an entry, that is, one run
 * of an entry's process.
 */
export enum HolderStatus {
  Open = 'open',
  /** An operator declared the instance gone; its shares aren't released yet. */
  Closing = 'closing',
  /** It left by itself or was released; the ledger no longer lists it. */
  Gone = 'gone',
}

/** Record of one holder in one ledger partition. */
export interface Holder {
  instance: string;
  status: HolderStatus;
  /** Sequence number of the last batch of this holder that took effect. */
  sequence: number;
  /**
   * Value of `Ledger.closes` that this holder has acknowledged: it exchanges
   * no more tokens with the holders closed until then.
   */
  seenCloses: number;
}

/** One holder's counts for one budget, in tokens. They never decrease. */
export interface Share {
  /** Tokens allocated to the holder from the budget. */
  taken: number;
  /** Tokens given back to the budget. */
  returned: number;
  /** Tokens charged for requests. */
  billed: number;
  /** Tokens sent to other holders, by recipient. */
  sent: Record<string, number>;
  /** Tokens received from other holders, by sender. */
  received: Record<string, number>;
  /** Tokens of `sent` received by holders that were removed since. */
  delivered: number;
}

/** One prepaid budget; all counts in tokens. */
export interface BudgetRecord {
  /** Sum of all top-ups. */
  granted: number;
  /** Identifiers of the top-ups already counted in `granted`. */
  topUps: string[];
  /** Shares of the holders that the ledger lists, by holder. */
  shares: Record<string, Share>;
  /** Totals of the removed shares; `net` is taken less returned. */
  removed: {net: number; billed: number};
}

/** A charge for one request. */
export interface Settlement {
  /** Digest of account, idempotency key and body. */
  digest: string;
  /** Holder whose share is charged. */
  holder: string;
  budget: string;
  tokens: number;
  /** When the request began to run. */
  begun: Millis;
}

/** Who was billed for a request, and when. */
export interface Bill {
  holder: string;
  at: Millis;
}

/** One ledger partition. */
export interface Ledger {
  /** Number of holders that operators have closed so far. */
  closes: number;
  /** Open and closing holders, by their identifiers. */
  holders: Record<string, Holder>;
  budgets: Record<string, BudgetRecord>;
  /** Bills of the retention period, by digest of the request. */
  bills: Record<string, Bill>;
  /**
   * Charges for requests begun before this time are rejected, because their
   * bills may have been deleted.
   */
  prunedBefore: Millis;
}

/** Returns a ledger partition without holders, budgets or bills. */
export function emptyLedger(): Ledger {
  return {closes: 0, holders: {}, budgets: {}, bills: {}, prunedBefore: 0};
}

/** Returns a budget record without tokens or shares. */
export function emptyBudget(): BudgetRecord {
  return {
    granted: 0,
    topUps: [],
    shares: {},
    removed: {net: 0, billed: 0},
  };
}

/**
 * Returns a budget; undefined if there is none. It may be called like a property
 * that all objects have.
 */
export function budgetOf(
  {budgets}: Pick<Ledger, 'budgets'>,
  name: string,
): BudgetRecord | undefined {
  return Object.hasOwn(budgets, name) ? budgets[name] : undefined;
}

/** Returns the tokens of a budget that holders have or that are billed. */
export function countAllocatedTokens(budget: BudgetRecord): number {
  let total = budget.removed.net;
  for (const share of Object.values(budget.shares)) {
    total += share.taken - share.returned;
  }
  return total;
}

/** Returns the tokens of a budget billed so far. */
export function countBilledTokens(budget: BudgetRecord): number {
  let total = budget.removed.billed;
  for (const share of Object.values(budget.shares)) {
    total += share.billed;
  }
  return total;
}

/** Returns the tokens of a budget that no holder has taken. */
export function countUnallocatedTokens(budget: BudgetRecord): number {
  return budget.granted - countAllocatedTokens(budget);
}

/** Returns the number of open holders of a partition. */
export function countOpenHolders(ledger: Ledger): number {
  let count = 0;
  for (const holder of Object.values(ledger.holders)) {
    count += holder.status === HolderStatus.Open ? 1 : 0;
  }
  return count;
}

/** Returns the share of a holder; creates it if there is none. */
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
 * Adds a top-up to a budget, which is created if it doesn't exist. A top-up
 * whose identifier is already recorded has no effect.
 * @return whether the top-up was new.
 */
export function topUp(
  ledger: Ledger,
  budgetName: string,
  topUpId: string,
  tokens: number,
): boolean {
  const budget = budgetOf(ledger, budgetName) ?? emptyBudget();
  ledger.budgets[budgetName] = budget;
  if (budget.topUps.includes(topUpId)) {
    return false;
  }
  budget.topUps.push(topUpId);
  budget.granted += tokens;
  return true;
}
