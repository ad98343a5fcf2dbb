/**
 * The test oracle: invariants of a fleet model, computed from the stored ledgers,
 * the entries and the true state of every request.
 */
import {
  countAllocatedTokens,
  countBilledTokens,
  countUnallocatedTokens,
} from '@citrontrestle/decisions';
import {AttemptState} from './request_attempt.js';
import type {FleetModel} from './fleet_model.js';
import type {RequestAttempt} from './request_attempt.js';

/**
 * Checks what must hold after every step: no budget is overspent and no request
 * is billed twice. Returns a description of each violation.
 */
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

/**
 * Checks that billed tokens and those that may still be billed never exceed the
 * intended grant; a running request counts with all the tokens it has reserved.
 * Also checks that the ledger grants no more than intended, and allocates no more
 * than it grants.
 */
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
      `${budget}: ${committedTokens} tokens committed of ${intendedGrant}`,
    );
  }
  if (record.granted > intendedGrant) {
    violations.push(
      `${budget}: granted ${record.granted} of ${intendedGrant} intended tokens`,
    );
  }
  if (countAllocatedTokens(record) > record.granted) {
    violations.push(
      `${budget}: ${countAllocatedTokens(record)} tokens allocated of ${record.granted}`,
    );
  }
  return violations;
}

/**
 * Checks that spent tokens and those that can still be spent, at any entry or
 * from the ledger, never exceed the grant. This detects a token that is counted
 * twice long before it is spent.
 */
function checkConservation(model: FleetModel, budget: string): string[] {
  const record = model.ledgerOf(budget).budgets[budget];
  if (record === undefined) {
    return [];
  }
  let spentOrSpendableTokens =
    countBilledTokens(record) + countUnallocatedTokens(record);
  for (const entry of model.entries) {
    const status = entry.exists()
      ? entry.wallet
          .shareStatuses()
          .find(candidate => candidate.budget === budget)
      : undefined;
    spentOrSpendableTokens +=
      status === undefined ? 0 : status.available + status.held;
  }
  for (const attempt of model.attempts) {
    const isRunning = attempt.state === AttemptState.Running;
    spentOrSpendableTokens +=
      attempt.budget === budget && !isRunning
        ? countCommittedTokens(model, attempt)
        : 0;
  }
  const violation = `${budget}: ${spentOrSpendableTokens} tokens spent or spendable of ${record.granted}`;
  return spentOrSpendableTokens > record.granted ? [violation] : [];
}

/** Returns the tokens that an attempt may still be billed for. */
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

/** Whether the process that knows of an attempt's charge still exists. */
function canStillBill(model: FleetModel, attempt: RequestAttempt): boolean {
  const entry = model.entries[attempt.entryIndex];
  return entry?.holder === attempt.holder && entry.exists();
}

/**
 * Checks what must hold when all faults have ended and all charges had time to
 * settle. In addition to the invariants, every request whose charge was secured
 * before the answer must be billed. Returns a description of each violation.
 */
export function checkAfterQuiescence(model: FleetModel): string[] {
  const violations = checkInvariants(model);
  for (const attempt of model.attempts) {
    const mustBeBilled =
      attempt.state === AttemptState.Answered && attempt.isSecured;
    // A secured charge survives the loss of one process. The loss of two at the
    // same time may lose it, so it isn't checked after more than one kill.
    const mayLoseBills = model.killCount > 1;
    if (
      mustBeBilled &&
      !mayLoseBills &&
      !model.billCounts.has(attempt.idempotencyKey)
    ) {
      violations.push(`${attempt.id} was answered and never billed`);
    }
  }
  return violations;
}
