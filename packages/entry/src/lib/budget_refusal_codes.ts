import {BudgetRefusal} from '@citrontrestle/decisions';
import {RefusalCode} from '@citrontrestle/caller';

/** Code that callers receive for each reason to refuse a reservation. */
export const BUDGET_REFUSAL_CODES: Record<BudgetRefusal, RefusalCode> = {
  [BudgetRefusal.Exhausted]: RefusalCode.BudgetExhausted,
  [BudgetRefusal.Unavailable]: RefusalCode.BudgetUnavailable,
};
