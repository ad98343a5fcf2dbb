/**
 * How holders leave a ledger, by themselves or by an operator's word, and how
 * what they held returns without being counted twice.
 */
import {HolderStatus, getOrCreateShare} from './ledger.js';
import type {BudgetRecord, Ledger, Share} from './ledger.js';

function sumCounts(counts: Record<string, number>): number {
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
export function holdersPendingAcknowledgement(ledger: Ledger): string[] {
  return Object.keys(ledger.holders).filter(id => {
    const holder = ledger.holders[id];
    return (
      holder?.status === HolderStatus.Open && holder.seenCloses < ledger.closes
    );
  });
}

/** States that a holder's instance is gone. The shares follow later. */
export function closeHolder(ledger: Ledger, holderId: string): boolean {
  const holder = ledger.holders[holderId];
  if (holder?.status !== HolderStatus.Open) {
    return false;
  }
  holder.status = HolderStatus.Closing;
  ledger.closes += 1;
  releaseClosingHolders(ledger);
  return true;
}

/**
 * A holder leaves by itself, with its last position written. Transfers on
 * their way between it and others are settled here, since nobody will.
 */
export function removeLeavingHolder(ledger: Ledger, holderId: string): void {
  for (const budget of Object.values(ledger.budgets)) {
    const share = budget.shares[holderId];
    if (share !== undefined) {
      returnUnreceivedTokens(ledger, budget, holderId, share);
      creditRecipients(ledger, budget, holderId, share);
      removeShare(ledger, budget, holderId);
    }
  }
  delete ledger.holders[holderId];
}

/** Returns what open holders sent to a leaving one and it never saw. */
function returnUnreceivedTokens(
  ledger: Ledger,
  budget: BudgetRecord,
  holderId: string,
  share: Share,
): void {
  for (const [senderId, senderShare] of Object.entries(budget.shares)) {
    const unreceived =
      (senderShare.sent[holderId] ?? 0) - (share.received[senderId] ?? 0);
    if (
      ledger.holders[senderId]?.status === HolderStatus.Open &&
      unreceived > 0
    ) {
      share.received[senderId] = senderShare.sent[holderId] ?? 0;
      share.returned += unreceived;
    }
  }
}

/** Counts what a leaving holder sent as received by those that stay. */
function creditRecipients(
  ledger: Ledger,
  budget: BudgetRecord,
  holderId: string,
  share: Share,
): void {
  for (const [recipientId, sent] of Object.entries(share.sent)) {
    if (ledger.holders[recipientId] !== undefined) {
      const recipientShare = getOrCreateShare(budget, recipientId);
      recipientShare.received[holderId] = Math.max(
        recipientShare.received[holderId] ?? 0,
        sent,
      );
    }
  }
}

/** Notes with the senders what a holder that is gone had received. */
function removeShare(
  ledger: Ledger,
  budget: BudgetRecord,
  holderId: string,
): void {
  const share = getOrCreateShare(budget, holderId);
  for (const [senderId, received] of Object.entries(share.received)) {
    if (ledger.holders[senderId] !== undefined) {
      getOrCreateShare(budget, senderId).delivered += received;
    }
  }
  budget.removed.net += share.taken - share.returned;
  budget.removed.billed += share.billed;
  delete budget.shares[holderId];
}

/**
 * Returns the shares of closing holders once every open holder has stopped
 * dealing with them. All closing holders are released together, because
 * transfers between two of them are known to neither record for sure.
 */
export function releaseClosingHolders(ledger: Ledger): void {
  const closingIds = closingHolders(ledger);
  if (
    closingIds.length === 0 ||
    holdersPendingAcknowledgement(ledger).length > 0
  ) {
    return;
  }
  for (const budget of Object.values(ledger.budgets)) {
    releaseShares(ledger, budget, closingIds);
  }
  for (const id of closingIds) {
    delete ledger.holders[id];
  }
}

function releaseShares(
  ledger: Ledger,
  budget: BudgetRecord,
  closingIds: string[],
): void {
  // A holder may have passed tokens on before it ever wrote of them.
  const participants = closingIds.filter(id => isParticipant(budget, id));
  for (const id of participants) {
    creditSentByOpenHolders(ledger, budget, id);
  }
  for (const id of participants) {
    const share = getOrCreateShare(budget, id);
    const balance = share.taken - share.returned - share.billed;
    const receivedTokens = sumCounts(share.received);
    const sentTokens = totalReceivedFrom(budget, id) + share.delivered;
    share.returned += balance + receivedTokens - sentTokens;
  }
  for (const id of participants) {
    removeShare(ledger, budget, id);
  }
  // Retiring one may have noted a delivery with another just retired.
  for (const id of participants) {
    delete budget.shares[id];
  }
}

/** Whether a holder, or anybody who dealt with it, wrote of a budget. */
function isParticipant(budget: BudgetRecord, holderId: string): boolean {
  return (
    budget.shares[holderId] !== undefined ||
    Object.values(budget.shares).some(
      share =>
        share.received[holderId] !== undefined ||
        share.sent[holderId] !== undefined,
    )
  );
}

/**
 * Counts what open holders sent to a closing holder as received by it. They
 * have stopped sending, and their counts are exact.
 */
function creditSentByOpenHolders(
  ledger: Ledger,
  budget: BudgetRecord,
  closingId: string,
): void {
  const share = getOrCreateShare(budget, closingId);
  for (const [senderId, senderShare] of Object.entries(budget.shares)) {
    const sent = senderShare.sent[closingId] ?? 0;
    if (ledger.holders[senderId]?.status === HolderStatus.Open && sent > 0) {
      share.received[senderId] = sent;
    }
  }
}

function totalReceivedFrom(budget: BudgetRecord, senderId: string): number {
  let total = 0;
  for (const share of Object.values(budget.shares)) {
    total += share.received[senderId] ?? 0;
  }
  return total;
}
