/**
 * Batches of one wallet: forms what is written to the ledger, and takes over
 * what the ledger says.
 */
import {HolderStatus, countUnallocatedTokens} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {Batch} from './ledger_batch.js';
import type {WalletState} from './wallet_state.js';
import type {Ledger, Settlement, Share} from './ledger.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';

/** The batches of one wallet; internal to it. */
export class LedgerSync implements PartitionOwner {
  private readonly seenCloses = new Map<number, number>();

  constructor(private readonly state: WalletState) {}

  /** Forms the next batch of a partition. Called by the partition. */
  createBatch(partition: number, sequence: number, now: Millis): Batch {
    this.acknowledgeCloses(partition);
    const {holder, instance, billRetention} = this.state.settings;
    const batch: Batch = {
      holder,
      instance,
      sequence,
      seenCloses: this.seenCloses.get(partition) ?? 0,
      settlements: this.peerSettlementsOf(partition),
      reportedCounts: {},
      allocationRequests: {},
      isLeaving: this.canLeave(partition),
      now,
      billRetention,
    };
    for (const budget of this.state.partitionTable.budgetsOf(partition)) {
      this.addBudget(batch, budget);
    }
    return batch;
  }

  /**
   * A holder leaves with a batch of its own after its last charges: what a
   * charge that proves a duplicate frees must still be returned.
   */
  private canLeave(partition: number): boolean {
    if (!this.state.isDraining || !this.state.isIdle()) {
      return false;
    }
    return [...this.state.partitionTable.budgetsOf(partition)].every(
      budget => this.state.share(budget).unsettledCharges().length === 0,
    );
  }

  private addBudget(batch: Batch, budget: string): void {
    const account = this.state.share(budget);
    if (batch.isLeaving) {
      account.returnTokens(Math.max(0, account.availableTokens()));
      this.state.changedBudgets.add(budget);
    }
    if (
      this.state.changedBudgets.delete(budget) ||
      account.unsettledCharges().length > 0
    ) {
      batch.settlements.push(...account.unsettledCharges());
      batch.reportedCounts[budget] = account.position();
    }
    const request = this.state.ledgerRequestFor(budget);
    if (request !== undefined) {
      batch.allocationRequests[budget] = request;
    }
  }

  /** Whether a batch would hold nothing but wants that can't be met. */
  isWriteUnnecessary(partition: number): boolean {
    const ledger = this.state.partitionTable
      .partitionAt(partition)
      .lastKnownLedger();
    const peerSettlements = this.peerSettlementsOf(partition);
    const {joined} = this.state.partitionTable.partitionAt(partition).state();
    if (!joined || peerSettlements.length > 0 || ledger === undefined) {
      return false;
    }
    if (
      this.state.isDraining ||
      ledger.closes > (this.seenCloses.get(partition) ?? 0)
    ) {
      return false;
    }
    const budgets = [...this.state.partitionTable.budgetsOf(partition)];
    return budgets.every(budget => {
      const record = ledger.budgets[budget];
      const freeTokens =
        record === undefined ? 0 : countUnallocatedTokens(record);
      const hasUnsettled =
        this.state.share(budget).unsettledCharges().length > 0;
      return (
        freeTokens <= 0 &&
        !hasUnsettled &&
        !this.state.changedBudgets.has(budget)
      );
    });
  }

  /** Copies of other entries' charges against a partition's budgets. */
  private peerSettlementsOf(partition: number): Settlement[] {
    const {copies, partitionTable} = this.state;
    return copies.copiesMatching(
      budget => partitionTable.indexOf(budget) === partition,
    );
  }

  /** Stops dealing with holders that an operator closed. */
  private acknowledgeCloses(partition: number): void {
    const ledger = this.state.partitionTable
      .partitionAt(partition)
      .lastKnownLedger();
    if (ledger === undefined) {
      return;
    }
    this.seenCloses.set(partition, ledger.closes);
    for (const [id, holder] of Object.entries(ledger.holders)) {
      if (holder.status === HolderStatus.Closing) {
        this.state.peers.markClosed(id);
      }
    }
  }

  /** Takes over the ledger's counts. Called by the partition. */
  handleBatchApplied(partition: number, ledger: Ledger, batch: Batch): void {
    const written = new Set(batch.settlements);
    this.adoptLedgerCounts(partition, ledger, written);
    this.confirmSettlements(batch.settlements);
    if (batch.isLeaving) {
      this.state.partitionTable.markLeft(partition);
    } else if (ledger.closes > batch.seenCloses) {
      this.state.partitionTable.scheduleWrite(partition, batch.now);
    }
  }

  /** Takes over a ledger that was only read. Called by the partition. */
  handleLedgerRead(partition: number, ledger: Ledger): void {
    this.adoptLedgerCounts(partition, ledger, new Set());
  }

  /**
   * Takes over the ledger's counts. A charge that the keeper has written, or
   * that somebody else was billed for, is dealt with although it was in none
   * of our own batches; counting it as well would withhold it twice.
   */
  private adoptLedgerCounts(
    partition: number,
    ledger: Ledger,
    written: ReadonlySet<Settlement>,
  ): void {
    const isSettled = (settlement: Settlement) =>
      written.has(settlement) || ledger.bills[settlement.digest] !== undefined;
    for (const budget of this.state.partitionTable.budgetsOf(partition)) {
      const shares = ledger.budgets[budget]?.shares ?? {};
      const ownShare = shares[this.state.settings.holder];
      if (ownShare !== undefined) {
        this.confirmSettlements(
          this.state.share(budget).applyLedgerShare(ownShare, isSettled),
        );
        this.collectTransfers(budget, shares);
      }
    }
  }

  /** Takes what others sent and what got lost on its way. */
  private collectTransfers(
    budget: string,
    shares: Record<string, Share>,
  ): void {
    const {holder} = this.state.settings;
    const account = this.state.share(budget);
    for (const [from, {sent}] of Object.entries(shares)) {
      const total = this.state.peers.isClosed(from) ? 0 : (sent[holder] ?? 0);
      if (account.recordReceived(from, total)) {
        this.state.changedBudgets.add(budget);
      }
    }
  }

  /** Lets go of copies and callers once charges stand in the ledger. */
  private confirmSettlements(settlements: Settlement[]): void {
    const digestsByKeeper = new Map<string, string[]>();
    for (const {digest, holder} of settlements) {
      if (holder !== this.state.settings.holder) {
        this.state.copies.remove(holder, [digest]);
        continue;
      }
      this.state.reportSecured(digest, true);
      const keeper = this.state.chargeTracker.removeCopyHolder(digest);
      if (keeper !== undefined) {
        digestsByKeeper.set(keeper, [
          ...(digestsByKeeper.get(keeper) ?? []),
          digest,
        ]);
      }
    }
    for (const [to, digests] of digestsByKeeper) {
      this.state.effects.push({kind: WalletEffectKind.SendDrop, to, digests});
    }
  }
}
