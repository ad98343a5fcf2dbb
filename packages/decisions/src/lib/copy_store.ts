/** Copies of other entries' charges, kept until their owners settle them. */
import type {Millis} from './clock.js';
import type {Settlement} from './ledger.js';

interface Copy {
  settlement: Settlement;
  dueAt: Millis;
}

/** Copies of other entries' charges. */
export class CopyStore {
  private readonly copies = new Map<string, Copy>();

  /** Number of copies held. */
  size(): number {
    return this.copies.size;
  }

  /** Keeps a charge; it is to be settled here at `dueAt`. */
  add(settlement: Settlement, dueAt: Millis): void {
    this.copies.set(keyOf(settlement), {settlement, dueAt});
  }

  /** Forgets charges that their owner settled. */
  drop(holder: string, digests: string[]): void {
    for (const digest of digests) {
      this.copies.delete(`${holder} ${digest}`);
    }
  }

  /** Budgets of the charges that are due. */
  dueBudgets(now: Millis): Set<string> {
    const budgets = new Set<string>();
    for (const copy of this.copies.values()) {
      if (now >= copy.dueAt) {
        budgets.add(copy.settlement.budget);
      }
    }
    return budgets;
  }

  /** Whether a charge is due. */
  isDue(settlement: Settlement, now: Millis): boolean {
    const copy = this.copies.get(keyOf(settlement));
    return copy !== undefined && now >= copy.dueAt;
  }

  /** The charges against budgets that `match` accepts. */
  take(match: (budget: string) => boolean): Settlement[] {
    return [...this.copies.values()]
      .map(copy => copy.settlement)
      .filter(settlement => match(settlement.budget));
  }
}

function keyOf(settlement: Settlement): string {
  return `${settlement.holder} ${settlement.digest}`;
}
