/** The oracle: what must hold of a fleet, in as few words as possible. */
import {
  countAllocatedTokens,
  countBilledTokens,
  countUnallocatedTokens,
} from '@citrontrestle/decisions';
import {AttemptState} from './request_attempt.js';
import type {FleetModel} from './fleet_model.js';
import type {RequestAttempt} from './request_attempt.js';

/** What must hold after every step; returns what is wrong. */
export function checkInvariants(model: FleetModel): string[] {
  const violations: string[] = [];
  for (const budget of model.settings.budgets) {
    violations.push(...checkSpending(model, budget));
    violations.push(...checkConservation(model, budget));
  }
  for (const [digest, billCount] of model.billCounts) {
    if (billCount > 1) {
      violations.push(`${digest} billed ${billCount} times`);
    }
  }
  return violations;
}

/** Spend, with all that runs at its worst case, never exceeds the grant. */
function checkSpending(model: FleetModel, budget: string): string[] {
  const record = model.ledgerOf(budget).budgets[budget];
  const intendedGrant = model.intendedGrants.get(budget) ?? 0;
  if (record === undefined) {
    return [];
  }
  const violations: string[] = [];
  let committedTokens = countBilledTokens(record);
  for (const attempt of model.attempts) {
    committedTokens +=
      attempt.budget === budget ? countCommittedTokens(model, attempt) : 0;
  }
  if (committedTokens > intendedGrant) {
    violations.push(
      `${budget}: ${committedTokens} committed of ${intendedGrant}`,
    );
  }
  if (record.granted > intendedGrant) {
    violations.push(`${budget}: granted ${record.granted} of ${intendedGrant}`);
  }
  if (countAllocatedTokens(record) > record.granted) {
    violations.push(
      `${budget}: ${countAllocatedTokens(record)} out of ${record.granted}`,
    );
  }
  return violations;
}

/**
 * Tokens that can still be spent, here or there, and those spent never come to
 * more than the grant. This sees a token that is counted twice long before
 * anybody spends it.
 */
function checkConservation(model: FleetModel, budget: string): string[] {
  const record = model.ledgerOf(budget).budgets[budget];
  if (record === undefined) {
    return [];
  }
  let spendableTokens =
    countBilledTokens(record) + countUnallocatedTokens(record);
  for (const entry of model.entries) {
    const status = entry.exists()
      ? entry.wallet
          .shareStatuses()
          .find(candidate => candidate.budget === budget)
      : undefined;
    spendableTokens +=
      status === undefined ? 0 : status.available + status.held;
  }
  for (const attempt of model.attempts) {
    const isRunning = attempt.state === AttemptState.Running;
    spendableTokens +=
      attempt.budget === budget && !isRunning
        ? countCommittedTokens(model, attempt)
        : 0;
  }
  const violation = `${budget}: ${spendableTokens} spendable of ${record.granted}`;
  return spendableTokens > record.granted ? [violation] : [];
}

/** Tokens that a run may still be billed for. */
function countCommittedTokens(
  model: FleetModel,
  attempt: RequestAttempt,
): number {
  if (attempt.state === AttemptState.Running) {
    return attempt.reservedTokens;
  }
  const isFinished =
    attempt.state === AttemptState.Done ||
    attempt.state === AttemptState.Answered;
  return isFinished &&
    !model.billCounts.has(attempt.idempotencyKey) &&
    canStillBill(model, attempt)
    ? attempt.usedTokens
    : 0;
}

/** Whether somebody is left who knows of the charge. */
function canStillBill(model: FleetModel, attempt: RequestAttempt): boolean {
  const entry = model.entries[attempt.entryIndex];
  return entry?.holder === attempt.holder && entry.exists();
}

/** What must hold once every fault is put right and all has settled. */
export function checkAfterQuiescence(model: FleetModel): string[] {
  const violations = checkInvariants(model);
  for (const attempt of model.attempts) {
    const wasAnswered =
      attempt.state === AttemptState.Answered && attempt.isSecured;
    // One loss of a process never loses a bill; two at once may.
    const mayLoseBills = model.killCount > 1;
    if (
      wasAnswered &&
      !mayLoseBills &&
      !model.billCounts.has(attempt.idempotencyKey)
    ) {
      violations.push(`${attempt.id} answered and never billed`);
    }
  }
  return violations;
}
