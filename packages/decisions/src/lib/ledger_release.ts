/**
 * How holders leave a ledger, by themselves or by an operator's word, and how
 * what they held returns without being counted twice.
 */
import {HolderStatus, shareOf} from './ledger.js';
import type {BudgetRecord, Ledger, Share} from './ledger.js';

function sum(counts: Record<string, number>): number {
  let total = 0;
  for (const count of Object.values(counts)) {
    total += count;
  }
  return total;
}

/** Holders that an operator closed and whose shares are still out. */
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

/**
 * A holder leaves by itself, with its last position written. Transfers on
 * their way between it and others are settled here, since nobody will.
 */
export function leave(ledger: Ledger, holder: string): void {
  for (const budget of Object.values(ledger.budgets)) {
    const share = budget.shares[holder];
    if (share !== undefined) {
      collect(ledger, budget, holder, share);
      deliver(ledger, budget, holder, share);
      retire(ledger, budget, holder);
    }
  }
  delete ledger.holders[holder];
}

/** Returns what open holders sent to a leaving one and it never saw. */
function collect(
  ledger: Ledger,
  budget: BudgetRecord,
  holder: string,
  share: Share,
): void {
  for (const [id, other] of Object.entries(budget.shares)) {
    const missing = (other.sent[holder] ?? 0) - (share.received[id] ?? 0);
    if (ledger.holders[id]?.status === HolderStatus.Open && missing > 0) {
      share.received[id] = other.sent[holder] ?? 0;
      share.returned += missing;
    }
  }
}

/** Counts what a leaving holder sent as received by those that stay. */
function deliver(
  ledger: Ledger,
  budget: BudgetRecord,
  holder: string,
  share: Share,
): void {
  for (const [to, sent] of Object.entries(share.sent)) {
    if (ledger.holders[to] !== undefined) {
      const other = shareOf(budget, to);
      other.received[holder] = Math.max(other.received[holder] ?? 0, sent);
    }
  }
}

/** Notes with the senders what a holder that is gone had received. */
function retire(ledger: Ledger, budget: BudgetRecord, holder: string): void {
  const share = shareOf(budget, holder);
  for (const [from, received] of Object.entries(share.received)) {
    if (ledger.holders[from] !== undefined) {
      shareOf(budget, from).delivered += received;
    }
  }
  budget.removed.net += share.taken - share.returned;
  budget.removed.billed += share.billed;
  delete budget.shares[holder];
}

/**
 * Returns the shares of closing holders once every open holder has stopped
 * dealing with them. All closing holders are released together, because
 * transfers between two of them are known to neither record for sure.
 */
export function release(ledger: Ledger): void {
  const closing = closingHolders(ledger);
  if (closing.length === 0 || awaitedHolders(ledger).length > 0) {
    return;
  }
  for (const budget of Object.values(ledger.budgets)) {
    releaseBudget(ledger, budget, closing);
  }
  for (const id of closing) {
    delete ledger.holders[id];
  }
}

function releaseBudget(
  ledger: Ledger,
  budget: BudgetRecord,
  closing: string[],
): void {
  // A holder may have passed tokens on before it ever wrote of them.
  const held = closing.filter(id => dealt(budget, id));
  for (const id of held) {
    adoptSent(ledger, budget, id);
  }
  for (const id of held) {
    const share = shareOf(budget, id);
    const balance = share.taken - share.returned - share.billed;
    const gained = sum(share.received);
    const lost = receivedFrom(budget, id) + share.delivered;
    share.returned += balance + gained - lost;
  }
  for (const id of held) {
    retire(ledger, budget, id);
  }
  // Retiring one may have noted a delivery with another just retired.
  for (const id of held) {
    delete budget.shares[id];
  }
}

/** Whether a holder, or anybody who dealt with it, wrote of a budget. */
function dealt(budget: BudgetRecord, holder: string): boolean {
  return (
    budget.shares[holder] !== undefined ||
    Object.values(budget.shares).some(
      share =>
        share.received[holder] !== undefined ||
        share.sent[holder] !== undefined,
    )
  );
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
