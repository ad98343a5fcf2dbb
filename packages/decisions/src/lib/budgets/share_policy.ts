/** How large a share an instance holds of each prepaid budget. */
import type {Millis} from '../base/clock.js';

/** Settings that determine the size of the shares of one instance. */
export interface SharePolicy {
  /** Time for which a share should last at the current spending rate. */
  horizon: Millis;
  /**
   * Maximum that all instances together hold, as a fraction of the tokens that
   * nobody holds: it is lost if all of them lose power at once. An instance's
   * own part of this maximum is its fraction of all tokens taken so far, but at
   * least an equal part.
   */
  maxHeldFraction: number;
  /**
   * Near the end of a budget, the instances hold at most the fraction
   * `remaining time / lowBudgetTime`, if that is below `maxHeldFraction`. The
   * remaining time is how long the budget lasts at the long-term spending rate.
   * Tokens left in the store during an outage can still be spent after it,
   * whereas tokens held by an instance that ends abruptly are lost.
   */
  lowBudgetTime: Millis;
  /**
   * Fraction of a full budget that all instances together hold without demand.
   * The amount falls with the square of the remaining fraction of the budget,
   * because an instance that is killed loses its share.
   */
  idleFraction: number;
  /**
   * Fraction of the tokens that nobody holds that all instances together may
   * take beyond their demand within `MAX_HISTORY_LOSS`. That much counts as
   * spent if all of them end while the store goes back to a copy. With less than
   * 1, a burst after a calm time is refused tokens that nobody holds.
   */
  headroomFraction: number;
  /**
   * Fraction of the tokens that nobody holds that all instances together may
   * take before the store has had their ceilings for long. Not covered if the
   * store goes back and the process that took them has ended.
   */
  initialFraction: number;
}

/** The policy of the gateway. */
export const SHARE_POLICY: SharePolicy = {
  horizon: 12_000,
  maxHeldFraction: 0.4,
  lowBudgetTime: 20_000,
  idleFraction: 0.6,
  headroomFraction: 1,
  initialFraction: 1,
};
