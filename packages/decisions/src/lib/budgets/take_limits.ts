/**
 * How much one process may take from budgets: as much as the store states with
 * such durability that the budget is not overspent if the store goes back to a
 * copy; see `CeilingHistory`.
 */
import {MAX_HISTORY_LOSS} from './take_ceilings.js';
import type {PageEntries} from './page_entries.js';
import type {Predecessors} from './predecessors.js';
import type {SharePolicy} from './share_policy.js';
import {tokensOf} from './token_counts.js';

/** Demand that a ceiling covers, as a multiple of `MAX_HISTORY_LOSS`. */
const CEILING_HORIZON = 3;

/** Number of the largest requests so far that a ceiling covers. */
const CEILING_REQUESTS = 4;

/** The process and its policy. */
export interface TakeLimitSettings extends Pick<
  SharePolicy,
  'headroomFraction' | 'initialFraction'
> {
  holder: string;
}

/** The budget of one account, as the process knows it. */
export interface AccountBudget {
  granted: number;
  /** Tokens that no process has taken. */
  untaken: number;
  /** Number of instances that may be running, at least 1. */
  instances: number;
  /** Number of those that take tokens from the store, at least 1; see `ShareView`. */
  drawers: number;
}

/** What requests of an account have used so far. */
export interface AccountDemand {
  /** Long-term spending rate, in tokens per millisecond. */
  rate: number;
  /** Largest reservation so far, in tokens. */
  largestReservation: number;
}

/** The limits of what one process may take. */
export class TakeLimits {
  /** Tokens that may be taken before any ceiling is durable, by account. */
  private readonly initialAllowances = new Map<string, number>();

  constructor(
    private readonly settings: TakeLimitSettings,
    private readonly entries: PageEntries,
    private readonly predecessors: Predecessors,
  ) {}

  /** Returns how many more tokens of an account the process may take. */
  maxTake(account: string, taken: number, view: AccountBudget): number {
    const ceiling =
      this.entries.takeCeiling(account) ??
      Math.max(
        this.inheritedCeiling(account),
        this.initialAllowance(account, view),
      );
    return Math.max(0, ceiling - taken);
  }

  /** Returns the ceiling to state with an entry that has `taken` tokens. */
  nextCeiling(
    account: string,
    taken: number,
    demand: AccountDemand,
    {granted, untaken, instances}: AccountBudget,
  ): number {
    if (this.entries.page().isYoung) {
      return granted;
    }
    const remaining = Math.max(0, untaken);
    const {headroomFraction} = this.settings;
    const headroom = Math.max(
      (remaining * headroomFraction) / instances,
      demand.rate * CEILING_HORIZON * MAX_HISTORY_LOSS,
      demand.largestReservation * CEILING_REQUESTS,
    );
    // Not limited to what is left: the grant may grow, and callers then wait for
    // as long as the ceiling is too low.
    const ceiling = taken + headroom;
    const isDurable = this.entries.takeCeiling(account) !== undefined;
    return Math.ceil(
      isDurable ? ceiling : Math.max(ceiling, this.inheritedCeiling(account)),
    );
  }

  /** Returns the ceiling on which the next process of the machine may rely. */
  durableCeiling(account: string): number {
    const stated = this.entries.takeCeiling(account);
    return Math.floor(stated ?? this.inheritedCeiling(account));
  }

  /**
   * Returns what earlier processes of the machine might still have taken, or
   * what this one has inherited of that with an earlier entry. Processes whose
   * entries can't be closed yet count for nothing.
   */
  private inheritedCeiling(account: string): number {
    const {holder} = this.settings;
    const ownEntry = this.entries.page().holders[holder];
    let inherited =
      (ownEntry && tokensOf(ownEntry.durableCeilings, account)) ?? 0;
    for (const {entry, maxUsed} of this.predecessors.closable()) {
      const ceiling = tokensOf(entry.durableCeilings, account) ?? 0;
      inherited += Math.max(0, ceiling - (tokensOf(maxUsed, account) ?? 0));
    }
    return inherited;
  }

  private initialAllowance(account: string, view: AccountBudget): number {
    const {initialFraction} = this.settings;
    const remaining = Math.max(0, view.untaken);
    const allowance = Math.max(
      this.initialAllowances.get(account) ?? 0,
      Math.floor((remaining * initialFraction) / view.drawers),
    );
    this.initialAllowances.set(account, allowance);
    return allowance;
  }
}
