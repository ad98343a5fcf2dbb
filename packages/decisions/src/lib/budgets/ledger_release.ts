/**
 * Removal of holders from a ledger, either when they leave by themselves or
 * after an operator has closed them. Their tokens return to the budgets, and no
 * token is counted twice.
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

/** Returns the closed holders whose shares are not released yet. */
function closingHolders(ledger: Ledger): string[] {
  return Object.keys(ledger.holders).filter(
    id => ledger.holders[id]?.status === HolderStatus.Closing,
  );
}

/**
 * Returns the open holders that have not acknowledged every close yet; they may
 * still exchange tokens with a closed holder.
 */
export function holdersPendingAcknowledgement(ledger: Ledger): string[] {
  return Object.keys(ledger.holders).filter(id => {
    const holder = ledger.holders[id];
    return (
      holder?.status === HolderStatus.Open && holder.seenCloses < ledger.closes
    );
  });
}

/**
 * Closes a holder whose instance is gone. Its shares are released once every
 * open holder has acknowledged the close.
 * @return whether the holder was open; otherwise nothing changes.
 */
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
 * Removes a holder that leaves by itself and has reported its final counts.
 * Transfers in flight between it and other holders are completed here, because
 * the holder no longer does so.
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

/** Returns tokens that open holders sent and a leaving one never received. */
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

/** Counts what a leaving holder sent as received by those that remain. */
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

/**
 * Removes a holder's share from a budget: adds the tokens that it received to
 * `delivered` of their senders, and its counts to the totals in `removed`.
 */
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
 * Releases the shares of closing holders once every open holder has stopped
 * exchanging tokens with them. All closing holders are released together,
 * because a transfer between two of them may be missing from both records.
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
  // A holder may have received tokens and passed them on before its first write
  // for this budget, so a holder without a share may take part as well.
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
  // Removing a share adds to `delivered` of its senders; this may have created
  // the share of a closing holder again that was already removed.
  for (const id of participants) {
    delete budget.shares[id];
  }
}

/**
 * Whether a budget has a share of a holder, or a share that lists transfers to
 * or from it.
 */
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
 * Counts what open holders sent to a closing holder as received by it. Their
 * counts are exact, because they no longer send to it.
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
