/** Copies of other entries' charges, kept until their owners settle them. */
import type {Settlement} from './ledger.js';

/** Copies of other entries' charges. */
export class CopyStore {
  private readonly copies = new Map<string, Settlement>();

  /** Keeps a charge. */
  add(settlement: Settlement): void {
    this.copies.set(keyOf(settlement), settlement);
  }

  /** Forgets charges that their owner settled. */
  drop(holder: string, digests: string[]): void {
    for (const digest of digests) {
      this.copies.delete(`${holder} ${digest}`);
    }
  }

  /** The charges against budgets that `match` accepts. */
  take(match: (budget: string) => boolean): Settlement[] {
    return [...this.copies.values()].filter(settlement =>
      match(settlement.budget),
    );
  }
}

function keyOf(settlement: Settlement): string {
  return `${settlement.holder} ${settlement.digest}`;
}
