/** Policies that divide a budget among the entries; selected by a setting. */
import type {AllocationRequest} from './ledger_batch.js';
import type {Millis} from '../base/clock.js';

/** Names of the budget policies. */
export enum BudgetPolicy {
  /**
   * Take the maximum use of each request from the ledger, and return what is
   * left after it.
   */
  Central = 'central',
  /** Take an equal part of the budget once. */
  StaticSplit = 'static-split',
  /** Take shares in proportion to the spending rate; ask peers for more. */
  Shares = 'shares',
}

/** State of one budget that a policy decides on. All counts are in tokens. */
export interface BudgetView {
  /** Sum of all top-ups of the budget. */
  granted: number;
  /** Tokens that waiting requests and peers need beyond those available. */
  shortfall: number;
  /** Unreserved tokens of this holder. */
  available: number;
  /** Tokens ever taken by this holder. */
  taken: number;
  /** Spending rate in tokens per millisecond. */
  spendingRate: number;
  /** Number of open holders in the ledger partition. */
  openHolders: number;
  /** Number of entries declared for the deployment. */
  declaredEntries: number;
}

/** Parameters of the target size of a share. */
export interface ShareLimits {
  /** Period of spending that a share should cover. */
  horizon: Millis;
  /** Maximum that one holder keeps in advance, as a fraction of the grant. */
  maxGrantFraction: number;
}

/** Behaviour of one policy. */
export interface BudgetRule {
  /** Whether to ask other entries for tokens before refusing a request. */
  asksPeers: boolean;
  /** Whether a holder can take more whenever the ledger has free tokens. */
  canTakeMore: boolean;
  /** Whether to return unused tokens to the ledger after each request. */
  returnsUnusedAtOnce: boolean;
  /** Computes the tokens to request from the ledger; undefined if none. */
  computeAllocationRequest(
    view: BudgetView,
    limits: ShareLimits,
  ): AllocationRequest | undefined;
}

/** Minimum target as a multiple of the shortfall; less is not worth taking. */
const MIN_TARGET_MULTIPLE = 4;

/**
 * Minimum target while requests wait, as a fraction of the maximum target. The
 * first request for a budget takes this much at once.
 */
const MIN_TARGET_FRACTION = 0.25;

/** A share is refilled when it falls below this fraction of its target. */
const REFILL_FRACTION = 0.6;

/** Target size in tokens of the part of a share that is not reserved. */
export function targetShareSize(view: BudgetView, limits: ShareLimits): number {
  const maxTarget = Math.floor(view.granted * limits.maxGrantFraction);
  const minTargetWithWaiters =
    view.shortfall > 0 ? maxTarget * MIN_TARGET_FRACTION : 0;
  const minTarget = Math.max(
    minTargetWithWaiters,
    MIN_TARGET_MULTIPLE * view.shortfall,
  );
  const desiredTarget = Math.max(view.spendingRate * limits.horizon, minTarget);
  return Math.min(maxTarget, Math.ceil(desiredTarget));
}

function computeSharesRequest(
  view: BudgetView,
  limits: ShareLimits,
): AllocationRequest | undefined {
  const target = targetShareSize(view, limits);
  const needsRefill =
    view.shortfall > 0 || view.available < target * REFILL_FRACTION;
  const desired = Math.max(view.shortfall, target - view.available);
  if (!needsRefill || desired <= 0) {
    return undefined;
  }
  // A holder takes at most half of an equal part of the unallocated tokens,
  // unless its shortfall is larger.
  const maxFraction = 1 / (2 * Math.max(1, view.openHolders));
  return {minTokens: view.shortfall, desiredTokens: desired, maxFraction};
}

function computeCentralRequest(
  view: BudgetView,
): AllocationRequest | undefined {
  if (view.shortfall <= 0) {
    return undefined;
  }
  return {
    minTokens: view.shortfall,
    desiredTokens: view.shortfall,
    maxFraction: 1,
  };
}

function computeStaticSplitRequest(
  view: BudgetView,
): AllocationRequest | undefined {
  const desired = Math.floor(view.granted / view.declaredEntries) - view.taken;
  return desired > 0
    ? {minTokens: desired, desiredTokens: desired, maxFraction: 1}
    : undefined;
}

/** Behaviour of each policy. */
export const BUDGET_RULES: Record<BudgetPolicy, BudgetRule> = {
  [BudgetPolicy.Central]: {
    asksPeers: false,
    canTakeMore: true,
    returnsUnusedAtOnce: true,
    computeAllocationRequest: computeCentralRequest,
  },
  [BudgetPolicy.StaticSplit]: {
    asksPeers: false,
    canTakeMore: false,
    returnsUnusedAtOnce: false,
    computeAllocationRequest: computeStaticSplitRequest,
  },
  [BudgetPolicy.Shares]: {
    asksPeers: true,
    canTakeMore: true,
    returnsUnusedAtOnce: false,
    computeAllocationRequest: computeSharesRequest,
  },
};
