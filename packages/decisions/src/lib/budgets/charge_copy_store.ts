/**
 * Copies of other entries' charges. An entry keeps them until the charges are
 * in the ledger, and writes them there if their owner does not.
 */
import type {Settlement} from './ledger.js';

/** Copies of charges, identified by their holder and digest. */
export class ChargeCopyStore {
  private readonly copies = new Map<string, Settlement>();

  /** Adds a copy of a charge; repeated calls have no effect. */
  add(settlement: Settlement): void {
    this.copies.set(keyOf(settlement), settlement);
  }

  /** Removes the copies of one holder's charges that are in the ledger. */
  remove(holder: string, digests: string[]): void {
    for (const digest of digests) {
      this.copies.delete(`${holder} ${digest}`);
    }
  }

  /** Returns the charges whose budget satisfies `matchesBudget`. */
  copiesMatching(matchesBudget: (budget: string) => boolean): Settlement[] {
    return [...this.copies.values()].filter(settlement =>
      matchesBudget(settlement.budget),
    );
  }
}

function keyOf(settlement: Settlement): string {
  return `${settlement.holder} ${settlement.digest}`;
}
