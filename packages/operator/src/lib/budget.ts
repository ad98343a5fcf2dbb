/** The operators' calls on budgets. All amounts in tokens. */
import {
  countAllocatedTokens,
  holdersPendingAcknowledgement,
  countBilledTokens,
  closeHolder,
  emptyLedger,
  HolderStatus,
  partitionIndex,
  topUp,
} from '@citrontrestle/decisions';
import {KeyValueOutcome, ledgerKey} from '@citrontrestle/platform';
import {updateKey, UpdateOutcome} from './update.js';
import type {KeyValueClient} from '@citrontrestle/platform';
import type {Ledger} from '@citrontrestle/decisions';

/** One holder's part of a budget. */
export interface HolderView {
  holder: string;
  instance: string;
  status: HolderStatus;
  /** Tokens out with the holder, as the ledger knows; transfers not counted. */
  out: number;
  billed: number;
}

/** One budget as the ledger has it. */
export interface BudgetView {
  name: string;
  granted: number;
  billed: number;
  /** Tokens out with holders and not billed. */
  out: number;
  free: number;
  holders: HolderView[];
}

/** Reads a ledger partition; undefined when it can't be read. */
export async function readLedger(
  keyValue: KeyValueClient,
  partition: number,
): Promise<Ledger | undefined> {
  const result = await keyValue.read(ledgerKey(partition));
  return result.outcome === KeyValueOutcome.Found
    ? (result.value as Ledger)
    : undefined;
}

/** The budgets of a ledger partition. */
export function viewLedger(ledger: Ledger): BudgetView[] {
  return Object.entries(ledger.budgets).map(([name, budget]) => ({
    name,
    granted: budget.granted,
    billed: countBilledTokens(budget),
    out: countAllocatedTokens(budget) - countBilledTokens(budget),
    free: budget.granted - countAllocatedTokens(budget),
    holders: Object.entries(budget.shares).map(([holder, share]) => ({
      holder,
      instance: ledger.holders[holder]?.instance ?? '',
      status: ledger.holders[holder]?.status ?? HolderStatus.Gone,
      out: share.taken - share.returned - share.billed,
      billed: share.billed,
    })),
  }));
}

/** Raises a budget once for each `id`. */
export function topUpBudget(
  keyValue: KeyValueClient,
  budgetName: string,
  topUpId: string,
  tokens: number,
  partitionCount: number,
): Promise<UpdateOutcome> {
  const partition = partitionIndex(budgetName, partitionCount);
  return updateKey<Ledger>(keyValue, ledgerKey(partition), ledger => {
    if (ledger?.budgets[budgetName] === undefined) {
      return undefined;
    }
    return topUp(ledger, budgetName, topUpId, tokens) ? ledger : undefined;
  });
}

/** State of the release of one instance's shares. */
export interface ReleaseResult {
  outcome: UpdateOutcome;
  /** Holders of the instance that were closed. */
  holders: string[];
  /** Open holders that have yet to act upon the close. */
  awaited: string[];
}

/**
 * States that an instance is gone, so that its shares return. The operator
 * vouches for it: a process that still runs would spend what is given back.
 */
export async function releaseInstance(
  keyValue: KeyValueClient,
  instance: string,
  partitionCount: number,
): Promise<ReleaseResult> {
  const holders = new Set<string>();
  const awaited = new Set<string>();
  let outcome = UpdateOutcome.Unchanged;
  for (let partition = 0; partition < partitionCount; partition++) {
    const partitionOutcome = await updateKey<Ledger>(
      keyValue,
      ledgerKey(partition),
      ledger => {
        const isChanged = closeHoldersOfInstance(ledger, instance, holders);
        holdersPendingAcknowledgement(ledger ?? emptyLedger()).forEach(id =>
          awaited.add(id),
        );
        return isChanged ? ledger : undefined;
      },
    );
    outcome = worseOutcome(outcome, partitionOutcome);
  }
  return {outcome, holders: [...holders], awaited: [...awaited]};
}

function closeHoldersOfInstance(
  ledger: Ledger | undefined,
  instance: string,
  closedHolders: Set<string>,
): boolean {
  let isChanged = false;
  for (const [id, holder] of Object.entries(ledger?.holders ?? {})) {
    if (holder.instance === instance && ledger !== undefined) {
      closedHolders.add(id);
      isChanged = closeHolder(ledger, id) || isChanged;
    }
  }
  return isChanged;
}

function worseOutcome(
  first: UpdateOutcome,
  second: UpdateOutcome,
): UpdateOutcome {
  const outcomesBySeverity = [
    UpdateOutcome.Unchanged,
    UpdateOutcome.Done,
    UpdateOutcome.Unavailable,
  ];
  return outcomesBySeverity.indexOf(second) > outcomesBySeverity.indexOf(first)
    ? second
    : first;
}
