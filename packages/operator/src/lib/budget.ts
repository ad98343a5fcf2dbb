/** Operations on the budgets in the ledger. All amounts are in tokens. */
import {
  countAllocatedTokens,
  holdersPendingAcknowledgement,
  countBilledTokens,
  closeHolder,
  emptyLedger,
  HolderStatus,
  partitionIndex,
  budgetOf,
  topUp,
} from '@citrontrestle/decisions';
import {KeyValueOutcome, ledgerKey} from '@citrontrestle/platform';
import {updateKey, UpdateOutcome} from './update.js';
import type {KeyValueClient} from '@citrontrestle/platform';
import type {Ledger} from '@citrontrestle/decisions';

/** Share of a budget that one holder (one run of an entry) has. */
export interface HolderView {
  holder: string;
  instance: string;
  status: HolderStatus;
  /**
   * Tokens taken from the budget and neither returned nor billed, according to
   * the ledger. Transfers between holders are not counted.
   */
  out: number;
  billed: number;
}

/** One budget as recorded in the ledger. */
export interface BudgetView {
  name: string;
  granted: number;
  billed: number;
  /** Tokens allocated to holders and not billed. */
  out: number;
  /** Tokens that no holder has taken. */
  free: number;
  holders: HolderView[];
}

/** Reads a ledger partition; undefined if it is absent or can't be read. */
export async function readLedger(
  keyValue: KeyValueClient,
  partition: number,
): Promise<Ledger | undefined> {
  const result = await keyValue.read(ledgerKey(partition));
  return result.outcome === KeyValueOutcome.Found
    ? (result.value as Ledger)
    : undefined;
}

/** Returns the budgets of a ledger partition. */
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

/**
 * Adds tokens to a budget, once for each `topUpId`. The outcome is `Unchanged`
 * if the identifier is already recorded or the budget doesn't exist.
 */
export function topUpBudget(
  keyValue: KeyValueClient,
  budgetName: string,
  topUpId: string,
  tokens: number,
  partitionCount: number,
): Promise<UpdateOutcome> {
  const partition = partitionIndex(budgetName, partitionCount);
  return updateKey<Ledger>(keyValue, ledgerKey(partition), ledger => {
    if (ledger === undefined || budgetOf(ledger, budgetName) === undefined) {
      return undefined;
    }
    return topUp(ledger, budgetName, topUpId, tokens) ? ledger : undefined;
  });
}

/** Progress of the release of one instance's shares. */
export interface ReleaseResult {
  outcome: UpdateOutcome;
  /** Holders of the instance that the ledger lists; all of them are closed. */
  holders: string[];
  /** Open holders that have not acknowledged the close yet. */
  awaited: string[];
}

/**
 * Closes all holders of an instance, so that their tokens return to the budgets.
 * The caller must make sure that the instance is gone: a process that still
 * runs would spend tokens that have been returned.
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

/**
 * Closes the holders of an instance and adds them to `closedHolders`, along with
 * those closed before. Returns whether the ledger was changed.
 */
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
