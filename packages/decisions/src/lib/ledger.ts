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
  /** Left by itself, or released. Its shares are accounted for. */
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

/** Tokens that a holder would like from a budget. */
export interface Want {
  /** Least useful amount, in tokens. */
  need: number;
  /** Amount to aim for, in tokens. */
  desired: number;
  /** Most that may be taken as a part of what is free, from 0 to 1. */
  part: number;
}

/** The holder's own view of its share, absolute counts in tokens. */
export interface Position {
  returned: number;
  sent: Record<string, number>;
  received: Record<string, number>;
}

/** One group-committed change of a partition by one holder. */
export interface Batch {
  holder: string;
  instance: string;
  sequence: number;
  seenCloses: number;
  settlements: Settlement[];
  positions: Record<string, Position>;
  wants: Record<string, Want>;
  /** The holder leaves for good; its positions return all it holds. */
  leave: boolean;
  /** Time of the writer. */
  now: Millis;
  /** How long bills are kept, in milliseconds. */
  window: Millis;
}

/** What became of a batch. */
export enum BatchOutcome {
  Applied = 'applied',
  /** An earlier write of the same batch had already taken effect. */
  Repeated = 'repeated',
  /** The holder is closed; it may not spend any more. */
  Fenced = 'fenced',
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

function sum(counts: Record<string, number>): number {
  let total = 0;
  for (const count of Object.values(counts)) {
    total += count;
  }
  return total;
}

/** Tokens of a budget that are out with holders or billed. */
export function allocated(budget: BudgetRecord): number {
  let total = budget.removed.net;
  for (const share of Object.values(budget.shares)) {
    total += share.taken - share.returned;
  }
  return total;
}

/** Tokens of a budget billed so far. */
export function billed(budget: BudgetRecord): number {
  let total = budget.removed.billed;
  for (const share of Object.values(budget.shares)) {
    total += share.billed;
  }
  return total;
}

/** Tokens of a budget that no holder has taken. */
export function unallocated(budget: BudgetRecord): number {
  return budget.granted - allocated(budget);
}

/** Number of open holders of a partition. */
export function openHolders(ledger: Ledger): number {
  let count = 0;
  for (const holder of Object.values(ledger.holders)) {
    count += holder.status === HolderStatus.Open ? 1 : 0;
  }
  return count;
}

function shareOf(budget: BudgetRecord, holder: string): Share {
  budget.shares[holder] ??= {
    taken: 0,
    returned: 0,
    billed: 0,
    sent: {},
    received: {},
  };
  return budget.shares[holder];
}

/**
 * Raises `granted` once for each top-up identifier.
 * @return whether the top-up was new.
 */
export function topUp(
  ledger: Ledger,
  name: string,
  id: string,
  tokens: number,
): boolean {
  ledger.budgets[name] ??= emptyBudget();
  const budget = ledger.budgets[name];
  if (budget.topUps.includes(id)) {
    return false;
  }
  budget.topUps.push(id);
  budget.granted += tokens;
  return true;
}

/** Bills one settlement unless it is known, too old, or its payer is gone. */
function settle(ledger: Ledger, settlement: Settlement, now: Millis): void {
  const {digest, holder, budget, tokens, begun} = settlement;
  const record = ledger.budgets[budget];
  const payer = ledger.holders[holder];
  if (record === undefined || payer === undefined) {
    return;
  }
  const refused =
    payer.status === HolderStatus.Gone ||
    begun < ledger.prunedBefore ||
    ledger.bills[digest] !== undefined;
  if (refused) {
    return;
  }
  shareOf(record, holder).billed += tokens;
  ledger.bills[digest] = {holder, at: now};
}

function place(ledger: Ledger, batch: Batch): void {
  for (const [name, position] of Object.entries(batch.positions)) {
    const record = ledger.budgets[name];
    if (record === undefined) {
      continue;
    }
    const share = shareOf(record, batch.holder);
    share.returned = position.returned;
    share.sent = {...position.sent};
    share.received = {...position.received};
  }
}

/** Tokens to take for a want when `free` tokens are left in the budget. */
export function portion(want: Want, free: number): number {
  const bound = Math.max(want.need, Math.floor(free * want.part));
  return Math.max(0, Math.min(want.desired, bound, free));
}

function take(ledger: Ledger, batch: Batch): void {
  for (const [name, want] of Object.entries(batch.wants)) {
    const record = ledger.budgets[name];
    if (record === undefined) {
      continue;
    }
    const amount = portion(want, unallocated(record));
    shareOf(record, batch.holder).taken += amount;
  }
}

function prune(ledger: Ledger, now: Millis, window: Millis): void {
  const before = now - window;
  if (before <= ledger.prunedBefore) {
    return;
  }
  let removed = false;
  for (const [digest, bill] of Object.entries(ledger.bills)) {
    if (bill.at < before) {
      delete ledger.bills[digest];
      removed = true;
    }
  }
  if (removed) {
    ledger.prunedBefore = before;
  }
}

/** States that a holder's instance is gone. The shares follow later. */
export function close(ledger: Ledger, holder: string): boolean {
  const record = ledger.holders[holder];
  if (record?.status !== HolderStatus.Open) {
    return false;
  }
  record.status = HolderStatus.Closing;
  ledger.closes += 1;
  release(ledger);
  return true;
}

function closingHolders(ledger: Ledger): string[] {
  return Object.keys(ledger.holders).filter(
    id => ledger.holders[id]?.status === HolderStatus.Closing,
  );
}

/** Open holders that have not yet acted upon every close. */
export function awaitedHolders(ledger: Ledger): string[] {
  return Object.keys(ledger.holders).filter(id => {
    const holder = ledger.holders[id];
    return (
      holder?.status === HolderStatus.Open && holder.seenCloses < ledger.closes
    );
  });
}

/**
 * Counts what open holders sent to a closing holder as received by it. They
 * have stopped sending, and their counts are exact.
 */
function adoptSent(
  ledger: Ledger,
  budget: BudgetRecord,
  closing: string,
): void {
  const share = shareOf(budget, closing);
  for (const [id, other] of Object.entries(budget.shares)) {
    const sent = other.sent[closing] ?? 0;
    if (ledger.holders[id]?.status === HolderStatus.Open && sent > 0) {
      share.received[id] = sent;
    }
  }
}

function receivedFrom(budget: BudgetRecord, sender: string): number {
  let total = 0;
  for (const share of Object.values(budget.shares)) {
    total += share.received[sender] ?? 0;
  }
  return total;
}

function releaseBudget(ledger: Ledger, name: string, closing: string[]): void {
  const budget = ledger.budgets[name];
  if (budget === undefined) {
    return;
  }
  const held = closing.filter(id => budget.shares[id] !== undefined);
  for (const id of held) {
    adoptSent(ledger, budget, id);
  }
  for (const id of held) {
    const share = shareOf(budget, id);
    const balance = share.taken - share.returned - share.billed;
    const moved = sum(share.received) - receivedFrom(budget, id);
    share.returned += balance + moved;
  }
}

/**
 * Returns the shares of closing holders once every open holder has stopped
 * dealing with them. All closing holders are released together, because
 * transfers between two of them are known to neither record for sure.
 */
function release(ledger: Ledger): void {
  const closing = closingHolders(ledger);
  if (closing.length === 0 || awaitedHolders(ledger).length > 0) {
    return;
  }
  for (const name of Object.keys(ledger.budgets)) {
    releaseBudget(ledger, name, closing);
  }
  for (const id of closing) {
    const holder = ledger.holders[id];
    if (holder !== undefined) {
      holder.status = HolderStatus.Gone;
    }
  }
}

function isOpen(ledger: Ledger, id: string): boolean {
  const status = ledger.holders[id]?.status;
  return status === HolderStatus.Open || status === HolderStatus.Closing;
}

/**
 * Folds the shares of gone holders. What an open holder received from a gone
 * one stands in the open holder's own share, so nothing else is needed.
 */
function compactBudget(ledger: Ledger, budget: BudgetRecord): void {
  for (const [id, share] of Object.entries(budget.shares)) {
    if (isOpen(ledger, id)) {
      continue;
    }
    budget.removed.net += share.taken - share.returned;
    budget.removed.billed += share.billed;
    delete budget.shares[id];
  }
}

/** Removes what no open holder needs any more. */
export function compact(ledger: Ledger): void {
  for (const budget of Object.values(ledger.budgets)) {
    compactBudget(ledger, budget);
  }
  for (const [id, holder] of Object.entries(ledger.holders)) {
    if (holder.status === HolderStatus.Gone) {
      delete ledger.holders[id];
    }
  }
}

/** Applies a batch to a ledger that the caller owns. */
export function applyBatch(ledger: Ledger, batch: Batch): BatchOutcome {
  if (batch.sequence === 1) {
    ledger.holders[batch.holder] ??= {
      instance: batch.instance,
      status: HolderStatus.Open,
      sequence: 0,
      seenCloses: 0,
    };
  }
  const holder = ledger.holders[batch.holder];
  if (holder?.status !== HolderStatus.Open) {
    return BatchOutcome.Fenced;
  }
  if (holder.sequence >= batch.sequence) {
    return BatchOutcome.Repeated;
  }
  for (const settlement of batch.settlements) {
    settle(ledger, settlement, batch.now);
  }
  place(ledger, batch);
  take(ledger, batch);
  holder.sequence = batch.sequence;
  holder.seenCloses = batch.seenCloses;
  if (batch.leave) {
    holder.status = HolderStatus.Gone;
  }
  release(ledger);
  compact(ledger);
  prune(ledger, batch.now, batch.window);
  return BatchOutcome.Applied;
}
