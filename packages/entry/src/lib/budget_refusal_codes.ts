import {BudgetRefusal} from '@citrontrestle/decisions';
import {RefusalCode} from '@citrontrestle/caller';

/** What callers are told when a budget refuses. */
export const BUDGET_REFUSAL_CODES: Record<BudgetRefusal, RefusalCode> = {
  [BudgetRefusal.Exhausted]: RefusalCode.BudgetExhausted,
  [BudgetRefusal.Unavailable]: RefusalCode.BudgetUnavailable,
};
