/** Ways to divide a budget among the entries, selectable by settings. */
import type {Want} from './ledger_batch.js';
import type {Millis} from './clock.js';

/** Name of a way to divide a budget. */
export enum BudgetPolicy {
  /** Take each request's worst case from the ledger and return the rest. */
  Central = 'central',
  /** Take one fixed part of the budget, once. */
  StaticSplit = 'static-split',
  /** Take shares that follow the spending rate; ask peers for more. */
  Shares = 'shares',
}

/** What a policy may look at. All counts in tokens. */
export interface BudgetView {
  granted: number;
  /** Tokens that requests wait for, beyond what is available. */
  need: number;
  available: number;
  /** Tokens ever taken by this holder. */
  taken: number;
  /** Spending rate in tokens a millisecond. */
  rate: number;
  /** Open holders known to the ledger, at least 1. */
  holders: number;
  /** Number of entries that the deployment is declared to have. */
  entries: number;
}

/** Bounds of a share. */
export interface ShareLimits {
  /** Span of spending that a share should cover. */
  horizon: Millis;
  /** Most that one holder keeps ahead of need, as a part of the grant. */
  cap: number;
}

/** Behaviour of one policy. */
export interface BudgetRule {
  /** Whether to ask other entries before a refusal. */
  asksPeers: boolean;
  /** Whether more can be taken whenever the ledger has it. */
  takesMore: boolean;
  /** Whether to return what is left after each request. */
  returnsAtOnce: boolean;
  /** What to ask the ledger for; undefined when nothing is wanted. */
  want(view: BudgetView, limits: ShareLimits): Want | undefined;
}

/** Smallest amount worth taking ahead of need, as a multiple of the need. */
const FLOOR_NEEDS = 4;

/** Part of the cap that is taken at once for the first request. */
const FIRST_PART = 0.25;

/** A share is refilled when it falls below this part of its target. */
const REFILL_BELOW = 0.6;

/** Tokens to keep ahead of need, given the rate and the grant. */
export function shareTarget(view: BudgetView, limits: ShareLimits): number {
  const cap = Math.floor(view.granted * limits.cap);
  const first = view.need > 0 ? cap * FIRST_PART : 0;
  const floor = Math.max(first, FLOOR_NEEDS * view.need);
  const wish = Math.max(view.rate * limits.horizon, floor);
  return Math.min(cap, Math.ceil(wish));
}

function wantShares(view: BudgetView, limits: ShareLimits): Want | undefined {
  const target = shareTarget(view, limits);
  const short = view.need > 0 || view.available < target * REFILL_BELOW;
  const desired = Math.max(view.need, target - view.available);
  if (!short || desired <= 0) {
    return undefined;
  }
  const part = 1 / (2 * Math.max(1, view.holders));
  return {need: view.need, desired, part};
}

function wantCentral(view: BudgetView): Want | undefined {
  if (view.need <= 0) {
    return undefined;
  }
  return {need: view.need, desired: view.need, part: 1};
}

function wantSplit(view: BudgetView): Want | undefined {
  const desired = Math.floor(view.granted / view.entries) - view.taken;
  return desired > 0 ? {need: desired, desired, part: 1} : undefined;
}

/** The policies by name. */
export const BUDGET_RULES: Record<BudgetPolicy, BudgetRule> = {
  [BudgetPolicy.Central]: {
    asksPeers: false,
    takesMore: true,
    returnsAtOnce: true,
    want: wantCentral,
  },
  [BudgetPolicy.StaticSplit]: {
    asksPeers: false,
    takesMore: false,
    returnsAtOnce: false,
    want: wantSplit,
  },
  [BudgetPolicy.Shares]: {
    asksPeers: true,
    takesMore: true,
    returnsAtOnce: false,
    want: wantShares,
  },
};
