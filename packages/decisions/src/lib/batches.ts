/**
 * Batches of one wallet: forms what is written to the ledger, and takes over
 * what the ledger says.
 */
import {HolderStatus, unallocated} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {Batch} from './ledger_batch.js';
import type {WalletState} from './wallet_state.js';
import type {Ledger, Settlement, Share} from './ledger.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';

/** The batches of one wallet; internal to it. */
export class Batches implements PartitionOwner {
  private readonly seenCloses = new Map<number, number>();

  constructor(private readonly books: WalletState) {}

  /** Forms the next batch of a partition. Called by the partition. */
  form(number: number, sequence: number, now: Millis): Batch {
    this.noteCloses(number);
    const {holder, instance, billRetention: window} = this.books.settings;
    const batch: Batch = {
      holder,
      instance,
      sequence,
      seenCloses: this.seenCloses.get(number) ?? 0,
      settlements: this.copiesOf(number),
      positions: {},
      wants: {},
      leave: this.mayLeave(number),
      now,
      window,
    };
    for (const budget of this.books.partitionTable.used(number)) {
      this.fill(batch, budget);
    }
    return batch;
  }

  /**
   * A holder leaves with a batch of its own after its last charges: what a
   * charge that proves a duplicate frees must still be returned.
   */
  private mayLeave(number: number): boolean {
    if (!this.books.isDraining || !this.books.isIdle()) {
      return false;
    }
    return [...this.books.partitionTable.used(number)].every(
      budget => this.books.share(budget).unsettledCharges().length === 0,
    );
  }

  private fill(batch: Batch, budget: string): void {
    const account = this.books.share(budget);
    if (batch.leave) {
      account.returnTokens(Math.max(0, account.availableTokens()));
      this.books.changedBudgets.add(budget);
    }
    if (
      this.books.changedBudgets.delete(budget) ||
      account.unsettledCharges().length > 0
    ) {
      batch.settlements.push(...account.unsettledCharges());
      batch.positions[budget] = account.position();
    }
    const want = this.books.ledgerRequestFor(budget);
    if (want !== undefined) {
      batch.wants[budget] = want;
    }
  }

  /** Whether a batch would hold nothing but wants that can't be met. */
  hopeless(number: number): boolean {
    const ledger = this.books.partitionTable.at(number).view();
    const copies = this.copiesOf(number);
    const {joined} = this.books.partitionTable.at(number).state();
    if (!joined || copies.length > 0 || ledger === undefined) {
      return false;
    }
    if (
      this.books.isDraining ||
      ledger.closes > (this.seenCloses.get(number) ?? 0)
    ) {
      return false;
    }
    const used = [...this.books.partitionTable.used(number)];
    return used.every(budget => {
      const record = ledger.budgets[budget];
      const free = record === undefined ? 0 : unallocated(record);
      const unsettled = this.books.share(budget).unsettledCharges().length > 0;
      return free <= 0 && !unsettled && !this.books.changedBudgets.has(budget);
    });
  }

  /** Copies of other entries' charges against a partition's budgets. */
  private copiesOf(number: number): Settlement[] {
    const {copies, partitionTable} = this.books;
    return copies.copiesMatching(
      budget => partitionTable.numberOf(budget) === number,
    );
  }

  /** Stops dealing with holders that an operator closed. */
  private noteCloses(number: number): void {
    const ledger = this.books.partitionTable.at(number).view();
    if (ledger === undefined) {
      return;
    }
    this.seenCloses.set(number, ledger.closes);
    for (const [id, holder] of Object.entries(ledger.holders)) {
      if (holder.status === HolderStatus.Closing) {
        this.books.peers.close(id);
      }
    }
  }

  /** Takes over the ledger's counts. Called by the partition. */
  absorb(number: number, ledger: Ledger, batch: Batch): void {
    const written = new Set(batch.settlements);
    this.takeOver(number, ledger, written);
    this.confirm(batch.settlements);
    if (batch.leave) {
      this.books.partitionTable.leave(number);
    } else if (ledger.closes > batch.seenCloses) {
      this.books.partitionTable.due(number, batch.now);
    }
  }

  /** Takes over a ledger that was only read. Called by the partition. */
  refreshed(number: number, ledger: Ledger): void {
    this.takeOver(number, ledger, new Set());
  }

  /**
   * Takes over the ledger's counts. A charge that the keeper has written, or
   * that somebody else was billed for, is dealt with although it was in none
   * of our own batches; counting it as well would withhold it twice.
   */
  private takeOver(
    number: number,
    ledger: Ledger,
    written: ReadonlySet<Settlement>,
  ): void {
    const isSettled = (settlement: Settlement) =>
      written.has(settlement) || ledger.bills[settlement.digest] !== undefined;
    for (const budget of this.books.partitionTable.used(number)) {
      const shares = ledger.budgets[budget]?.shares ?? {};
      const own = shares[this.books.settings.holder];
      if (own !== undefined) {
        this.confirm(this.books.share(budget).applyLedgerShare(own, isSettled));
        this.collect(budget, shares);
      }
    }
  }

  /** Takes what others sent and what got lost on its way. */
  private collect(budget: string, shares: Record<string, Share>): void {
    const {holder} = this.books.settings;
    const account = this.books.share(budget);
    for (const [from, {sent}] of Object.entries(shares)) {
      const total = this.books.peers.isClosed(from) ? 0 : (sent[holder] ?? 0);
      if (account.recordReceived(from, total)) {
        this.books.changedBudgets.add(budget);
      }
    }
  }

  /** Lets go of copies and callers once charges stand in the ledger. */
  private confirm(settlements: Settlement[]): void {
    const drops = new Map<string, string[]>();
    for (const {digest, holder} of settlements) {
      if (holder !== this.books.settings.holder) {
        this.books.copies.remove(holder, [digest]);
        continue;
      }
      this.books.reportSecured(digest, true);
      const keeper = this.books.chargeTracker.removeCopyHolder(digest);
      if (keeper !== undefined) {
        drops.set(keeper, [...(drops.get(keeper) ?? []), digest]);
      }
    }
    for (const [to, digests] of drops) {
      this.books.effects.push({kind: WalletEffectKind.SendDrop, to, digests});
    }
  }
}
