/**
 * Batches: changes of a ledger partition that one holder commits together, in
 * a single write.
 */
import {
  HolderStatus,
  budgetOf,
  getOrCreateShare,
  countUnallocatedTokens,
} from './ledger.js';
import {removeLeavingHolder, releaseClosingHolders} from './ledger_release.js';
import type {Ledger, Settlement} from './ledger.js';
import type {Millis} from '../base/clock.js';

/** A holder's request for tokens of a budget. */
export interface AllocationRequest {
  /** Smallest useful amount. */
  minTokens: number;
  /** Amount to allocate if possible. */
  desiredTokens: number;
  /**
   * Maximum fraction of the unallocated tokens, from 0 to 1. It may be exceeded
   * to allocate `minTokens`.
   */
  maxFraction: number;
}

/**
 * The counts of a share that its holder reports, in tokens. They are totals,
 * not differences.
 */
export interface ReportedCounts {
  returned: number;
  sent: Record<string, number>;
  received: Record<string, number>;
}

/** Changes of a partition that one holder commits together. */
export interface Batch {
  holder: string;
  instance: string;
  /** Number of the batch among the holder's in this partition, from 1. */
  sequence: number;
  /** See `Holder.seenCloses`. */
  seenCloses: number;
  /** Charges of this holder, and of others whose copies it keeps. */
  settlements: Settlement[];
  /** Counts of this holder's shares, by budget. */
  reportedCounts: Record<string, ReportedCounts>;
  /** Requests for tokens, by budget. */
  allocationRequests: Record<string, AllocationRequest>;
  /**
   * Whether the holder leaves for good. Its reported counts then return all
   * tokens that it has.
   */
  isLeaving: boolean;
  /** Time by the clock of the writer. */
  now: Millis;
  /** How long bills are kept to detect duplicate charges. */
  billRetention: Millis;
}

/** Result of applying a batch. */
export enum BatchOutcome {
  Applied = 'applied',
  /** An earlier write of the same batch has already taken effect. */
  AlreadyApplied = 'repeated',
  /** The holder is closed or removed and must not spend any more tokens. */
  Fenced = 'fenced',
}

/**
 * Bills one charge, unless it is already billed, began before `prunedBefore`,
 * or names a budget or a holder that the ledger doesn't list.
 */
function applySettlement(
  ledger: Ledger,
  settlement: Settlement,
  now: Millis,
): void {
  const {digest, holder, budget, tokens, begun} = settlement;
  const record = budgetOf(ledger, budget);
  const payer = ledger.holders[holder];
  if (record === undefined || payer === undefined) {
    return;
  }
  const isRejected =
    begun < ledger.prunedBefore || ledger.bills[digest] !== undefined;
  if (isRejected) {
    return;
  }
  getOrCreateShare(record, holder).billed += tokens;
  ledger.bills[digest] = {holder, at: now};
}

/** Copies the counts that a holder reports into its shares. */
function applyReportedCounts(ledger: Ledger, batch: Batch): void {
  for (const [name, counts] of Object.entries(batch.reportedCounts)) {
    const record = budgetOf(ledger, name);
    if (record === undefined) {
      continue;
    }
    const share = getOrCreateShare(record, batch.holder);
    share.returned = counts.returned;
    share.sent = {...counts.sent};
    // When a sender leaves, its transfers are counted as received here, even if
    // this holder never got them.
    for (const [from, total] of Object.entries(counts.received)) {
      share.received[from] = Math.max(share.received[from] ?? 0, total);
    }
  }
}

/**
 * Returns the tokens to allocate for a request when `freeTokens` tokens of the
 * budget are unallocated.
 */
export function tokensToAllocate(
  request: AllocationRequest,
  freeTokens: number,
): number {
  const limit = Math.max(
    request.minTokens,
    Math.floor(freeTokens * request.maxFraction),
  );
  return Math.max(0, Math.min(request.desiredTokens, limit, freeTokens));
}

function allocateTokens(ledger: Ledger, batch: Batch): void {
  for (const [name, request] of Object.entries(batch.allocationRequests)) {
    const record = budgetOf(ledger, name);
    if (record === undefined) {
      continue;
    }
    const tokens = tokensToAllocate(request, countUnallocatedTokens(record));
    getOrCreateShare(record, batch.holder).taken += tokens;
  }
}

/** Deletes the bills whose retention period is over. */
function pruneBills(ledger: Ledger, now: Millis, billRetention: Millis): void {
  const cutoff = now - billRetention;
  if (cutoff <= ledger.prunedBefore) {
    return;
  }
  let hasRemoved = false;
  for (const [digest, bill] of Object.entries(ledger.bills)) {
    if (bill.at < cutoff) {
      delete ledger.bills[digest];
      hasRemoved = true;
    }
  }
  if (hasRemoved) {
    ledger.prunedBefore = cutoff;
  }
}

/**
 * Applies a batch to a ledger in memory. The first batch of a holder registers
 * it. The ledger changes only if the outcome is `Applied`.
 */
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
    return BatchOutcome.AlreadyApplied;
  }
  for (const settlement of batch.settlements) {
    applySettlement(ledger, settlement, batch.now);
  }
  applyReportedCounts(ledger, batch);
  allocateTokens(ledger, batch);
  holder.sequence = batch.sequence;
  holder.seenCloses = batch.seenCloses;
  if (batch.isLeaving) {
    removeLeavingHolder(ledger, batch.holder);
  }
  releaseClosingHolders(ledger);
  pruneBills(ledger, batch.now, batch.billRetention);
  return BatchOutcome.Applied;
}
