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
import {update, UpdateOutcome} from './update.js';
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
export function raise(
  keyValue: KeyValueClient,
  name: string,
  id: string,
  tokens: number,
  partitions: number,
): Promise<UpdateOutcome> {
  const partition = partitionIndex(name, partitions);
  return update<Ledger>(keyValue, ledgerKey(partition), ledger => {
    if (ledger?.budgets[name] === undefined) {
      return undefined;
    }
    return topUp(ledger, name, id, tokens) ? ledger : undefined;
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
  partitions: number,
): Promise<ReleaseResult> {
  const holders = new Set<string>();
  const awaited = new Set<string>();
  let outcome = UpdateOutcome.Unchanged;
  for (let number = 0; number < partitions; number++) {
    const done = await update<Ledger>(keyValue, ledgerKey(number), ledger => {
      const closed = closeAll(ledger, instance, holders);
      holdersPendingAcknowledgement(ledger ?? emptyLedger()).forEach(id =>
        awaited.add(id),
      );
      return closed ? ledger : undefined;
    });
    outcome = worse(outcome, done);
  }
  return {outcome, holders: [...holders], awaited: [...awaited]};
}

function closeAll(
  ledger: Ledger | undefined,
  instance: string,
  holders: Set<string>,
): boolean {
  let closed = false;
  for (const [id, holder] of Object.entries(ledger?.holders ?? {})) {
    if (holder.instance === instance && ledger !== undefined) {
      holders.add(id);
      closed = closeHolder(ledger, id) || closed;
    }
  }
  return closed;
}

function worse(one: UpdateOutcome, two: UpdateOutcome): UpdateOutcome {
  const order = [
    UpdateOutcome.Unchanged,
    UpdateOutcome.Done,
    UpdateOutcome.Unavailable,
  ];
  return order.indexOf(two) > order.indexOf(one) ? two : one;
}
