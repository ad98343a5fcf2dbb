/** How many tokens of a budget one instance should hold unreserved. */
import type {SharePolicy} from './share_policy.js';
import type {SpendingRate} from './spending_rate.js';

/** The state of a budget that the size of a share depends on. */
export interface BudgetState {
  /** Tokens that are left: untaken, or held by this instance. */
  remaining: number;
  /** Tokens granted in total, spent ones included. */
  granted: number;
  /** The part of this instance in what all of them hold. */
  instanceFraction: number;
  /** Number of instances that may be running. */
  instances: number;
}

/** Returns the tokens that an instance should hold unreserved. */
export function prepaidShareSize(
  policy: SharePolicy,
  rate: SpendingRate,
  {remaining, granted, instanceFraction, instances}: BudgetState,
): number {
  const {horizon, maxHeldFraction, idleFraction, lowBudgetTime} = policy;
  const remainingFraction = granted > 0 ? Math.min(1, remaining / granted) : 0;
  const idleSize =
    (remaining * remainingFraction * idleFraction) / Math.max(1, instances);
  const neededSize = rate.recent() * horizon;
  const longTermRate = rate.longTerm();
  const remainingTime =
    longTermRate > 0 ? (remaining * instanceFraction) / longTermRate : Infinity;
  const heldFraction = Math.min(maxHeldFraction, remainingTime / lowBudgetTime);
  const maxSize = remaining * Math.min(1, heldFraction * instanceFraction);
  return Math.floor(Math.min(Math.max(neededSize, idleSize), maxSize));
}
