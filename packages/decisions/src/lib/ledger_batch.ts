/** Group-committed changes of a ledger partition by one holder. */
import {HolderStatus, shareOf, unallocated} from './ledger.js';
import {leave, release} from './ledger_release.js';
import type {Ledger, Settlement} from './ledger.js';
import type {Millis} from './clock.js';

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

/** Bills one settlement unless it is known, too old, or its payer is gone. */
function settle(ledger: Ledger, settlement: Settlement, now: Millis): void {
  const {digest, holder, budget, tokens, begun} = settlement;
  const record = ledger.budgets[budget];
  const payer = ledger.holders[holder];
  if (record === undefined || payer === undefined) {
    return;
  }
  const refused =
    begun < ledger.prunedBefore || ledger.bills[digest] !== undefined;
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
    // A sender that left may have noted here what never arrived.
    for (const [from, count] of Object.entries(position.received)) {
      share.received[from] = Math.max(share.received[from] ?? 0, count);
    }
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
    leave(ledger, batch.holder);
  }
  release(ledger);
  prune(ledger, batch.now, batch.window);
  return BatchOutcome.Applied;
}
