/** The oracle: what must hold of a fleet, in as few words as possible. */
import {
  countAllocatedTokens,
  countBilledTokens,
  countUnallocatedTokens,
} from '@citrontrestle/decisions';
import {RunState} from './run_record.js';
import type {FleetModel} from './fleet_model.js';
import type {ModelRun} from './run_record.js';

/** What must hold after every step; returns what is wrong. */
export function checkAlways(model: FleetModel): string[] {
  const wrong: string[] = [];
  for (const budget of model.settings.budgets) {
    wrong.push(...checkBudget(model, budget));
    wrong.push(...checkConservation(model, budget));
  }
  for (const [digest, times] of model.bills) {
    if (times > 1) {
      wrong.push(`${digest} billed ${times} times`);
    }
  }
  return wrong;
}

/** Spend, with all that runs at its worst case, never exceeds the grant. */
function checkBudget(model: FleetModel, budget: string): string[] {
  const record = model.ledger(budget).budgets[budget];
  const intended = model.intended.get(budget) ?? 0;
  if (record === undefined) {
    return [];
  }
  const wrong: string[] = [];
  let committed = countBilledTokens(record);
  for (const run of model.runs) {
    committed += run.budget === budget ? committedBy(model, run) : 0;
  }
  if (committed > intended) {
    wrong.push(`${budget}: ${committed} committed of ${intended}`);
  }
  if (record.granted > intended) {
    wrong.push(`${budget}: granted ${record.granted} of ${intended}`);
  }
  if (countAllocatedTokens(record) > record.granted) {
    wrong.push(
      `${budget}: ${countAllocatedTokens(record)} out of ${record.granted}`,
    );
  }
  return wrong;
}

/**
 * Tokens that can still be spent, here or there, and those spent never come to
 * more than the grant. This sees a token that is counted twice long before
 * anybody spends it.
 */
function checkConservation(model: FleetModel, budget: string): string[] {
  const record = model.ledger(budget).budgets[budget];
  if (record === undefined) {
    return [];
  }
  let total = countBilledTokens(record) + countUnallocatedTokens(record);
  for (const entry of model.entries) {
    const share = entry.exists()
      ? entry.wallet.shareStatuses().find(one => one.budget === budget)
      : undefined;
    total += share === undefined ? 0 : share.available + share.held;
  }
  for (const run of model.runs) {
    const running = run.state === RunState.Running;
    total += run.budget === budget && !running ? committedBy(model, run) : 0;
  }
  const wrong = `${budget}: ${total} spendable of ${record.granted}`;
  return total > record.granted ? [wrong] : [];
}

/** Tokens that a run may still be billed for. */
function committedBy(model: FleetModel, run: ModelRun): number {
  if (run.state === RunState.Running) {
    return run.reserved;
  }
  const finished =
    run.state === RunState.Done || run.state === RunState.Answered;
  return finished && !model.bills.has(run.key) && mayBill(model, run)
    ? run.used
    : 0;
}

/** Whether somebody is left who knows of the charge. */
function mayBill(model: FleetModel, run: ModelRun): boolean {
  const entry = model.entries[run.entry];
  return entry?.holder === run.holder && entry.exists();
}

/** What must hold once every fault is put right and all has settled. */
export function checkSettled(model: FleetModel): string[] {
  const wrong = checkAlways(model);
  for (const run of model.runs) {
    const answered = run.state === RunState.Answered && run.secured;
    // One loss of a process never loses a bill; two at once may.
    const lost = model.kills > 1;
    if (answered && !lost && !model.bills.has(run.key)) {
      wrong.push(`${run.id} answered and never billed`);
    }
  }
  return wrong;
}
