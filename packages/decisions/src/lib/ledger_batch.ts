/** Group-committed changes of a ledger partition by one holder. */
import {
  HolderStatus,
  getOrCreateShare,
  countUnallocatedTokens,
} from './ledger.js';
import {removeLeavingHolder, releaseClosingHolders} from './ledger_release.js';
import type {Ledger, Settlement} from './ledger.js';
import type {Millis} from './clock.js';

/** Tokens that a holder would like from a budget. */
export interface AllocationRequest {
  /** Least useful amount, in tokens. */
  minTokens: number;
  /** Amount to aim for, in tokens. */
  desiredTokens: number;
  /** Most that may be taken as a part of what is free, from 0 to 1. */
  maxFraction: number;
}

/** The holder's own view of its share, absolute counts in tokens. */
export interface ReportedCounts {
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
  reportedCounts: Record<string, ReportedCounts>;
  allocationRequests: Record<string, AllocationRequest>;
  /** The holder leaves for good; its positions return all it holds. */
  isLeaving: boolean;
  /** Time of the writer. */
  now: Millis;
  /** How long bills are kept, in milliseconds. */
  billRetention: Millis;
}

/** What became of a batch. */
export enum BatchOutcome {
  Applied = 'applied',
  /** An earlier write of the same batch had already taken effect. */
  AlreadyApplied = 'repeated',
  /** The holder is closed; it may not spend any more. */
  Fenced = 'fenced',
}

/** Bills one settlement unless it is known, too old, or its payer is gone. */
function applySettlement(
  ledger: Ledger,
  settlement: Settlement,
  now: Millis,
): void {
  const {digest, holder, budget, tokens, begun} = settlement;
  const record = ledger.budgets[budget];
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

function applyReportedCounts(ledger: Ledger, batch: Batch): void {
  for (const [name, counts] of Object.entries(batch.reportedCounts)) {
    const record = ledger.budgets[name];
    if (record === undefined) {
      continue;
    }
    const share = getOrCreateShare(record, batch.holder);
    share.returned = counts.returned;
    share.sent = {...counts.sent};
    // A sender that left may have noted here what never arrived.
    for (const [from, total] of Object.entries(counts.received)) {
      share.received[from] = Math.max(share.received[from] ?? 0, total);
    }
  }
}

/** Tokens to take for a want when `free` tokens are left in the budget. */
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
    const record = ledger.budgets[name];
    if (record === undefined) {
      continue;
    }
    const tokens = tokensToAllocate(request, countUnallocatedTokens(record));
    getOrCreateShare(record, batch.holder).taken += tokens;
  }
}

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
