/**
 * Synchronization of a wallet with the ledger: creates the batches to write,
 * and applies the counts of the ledger to the wallet.
 */
import {HolderStatus, budgetOf, countUnallocatedTokens} from './ledger.js';
import {WalletEffectKind} from './wallet_messages.js';
import type {Batch} from './ledger_batch.js';
import type {WalletState} from './wallet_state.js';
import type {Ledger, Settlement, Share} from './ledger.js';
import type {Millis} from '../base/clock.js';
import type {PartitionOwner} from './partition.js';

/** Synchronizes one wallet with the ledger. Internal to the wallet. */
export class LedgerSync implements PartitionOwner {
  /** Value of `Ledger.closes` that this holder acknowledges, by partition. */
  private readonly seenCloses = new Map<number, number>();

  constructor(private readonly state: WalletState) {}

  /** Creates the next batch of a partition. Called by the partition. */
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
   * Whether the next batch removes this holder from a partition. It does so
   * only after the last charges are settled: a charge that turns out to be a
   * duplicate frees tokens, which must still be returned.
   */
  private canLeave(partition: number): boolean {
    if (!this.state.isDraining || !this.state.isIdle()) {
      return false;
    }
    return [...this.state.partitionTable.budgetsOf(partition)].every(
      budget => this.state.share(budget).unsettledCharges().length === 0,
    );
  }

  /** Adds a budget's charges, counts and allocation request to a batch. */
  private addBudget(batch: Batch, budget: string): void {
    const share = this.state.share(budget);
    if (batch.isLeaving) {
      share.returnTokens(Math.max(0, share.availableTokens()));
      this.state.changedBudgets.add(budget);
    }
    if (
      this.state.changedBudgets.delete(budget) ||
      share.unsettledCharges().length > 0
    ) {
      batch.settlements.push(...share.unsettledCharges());
      batch.reportedCounts[budget] = share.reportedCounts();
    }
    const request = this.state.allocationRequestFor(budget);
    if (request !== undefined) {
      batch.allocationRequests[budget] = request;
    }
  }

  /**
   * Whether a batch would contain nothing but allocation requests that the last
   * known ledger can't satisfy. Called by the partition.
   */
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
      const record = budgetOf(ledger, budget);
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

  /** Returns the copies of other entries' charges to a partition's budgets. */
  private peerSettlementsOf(partition: number): Settlement[] {
    const {copies, partitionTable} = this.state;
    return copies.copiesMatching(
      budget => partitionTable.indexOf(budget) === partition,
    );
  }

  /** Stops exchanging tokens with holders that an operator closed. */
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

  /**
   * Applies the ledger's counts after a batch took effect. Called by the
   * partition.
   */
  handleBatchApplied(partition: number, ledger: Ledger, batch: Batch): void {
    const writtenSettlements = new Set(batch.settlements);
    this.applyLedgerCounts(partition, ledger, writtenSettlements);
    this.confirmSettlements(batch.settlements);
    if (batch.isLeaving) {
      this.state.partitionTable.markLeft(partition);
    } else if (ledger.closes > batch.seenCloses) {
      this.state.partitionTable.scheduleWrite(partition, batch.now);
    }
  }

  /**
   * Applies the counts of a ledger that was read without writing a batch.
   * Called by the partition.
   */
  handleLedgerRead(partition: number, ledger: Ledger): void {
    this.applyLedgerCounts(partition, ledger, new Set());
  }

  /**
   * Applies the ledger's counts to the local shares. A charge is settled if it
   * was in the batch just written, or if the ledger has a bill for the request:
   * then the peer that keeps the copy has written the charge, or another holder
   * was billed. If such a charge stayed unsettled, its tokens would be deducted
   * twice.
   * @param writtenSettlements the settlements in the batch just written; empty
   *     if the ledger was only read.
   */
  private applyLedgerCounts(
    partition: number,
    ledger: Ledger,
    writtenSettlements: ReadonlySet<Settlement>,
  ): void {
    const isSettled = (settlement: Settlement) =>
      writtenSettlements.has(settlement) ||
      ledger.bills[settlement.digest] !== undefined;
    for (const budget of this.state.partitionTable.budgetsOf(partition)) {
      const shares = budgetOf(ledger, budget)?.shares ?? {};
      const ownShare = shares[this.state.settings.holder];
      if (ownShare !== undefined) {
        this.confirmSettlements(
          this.state.share(budget).applyLedgerShare(ownShare, isSettled),
        );
        this.creditTransfers(budget, shares);
      }
    }
  }

  /**
   * Credits the tokens that other holders sent according to the ledger, which
   * includes transfers whose messages were lost.
   */
  private creditTransfers(budget: string, shares: Record<string, Share>): void {
    const {holder} = this.state.settings;
    const share = this.state.share(budget);
    for (const [from, {sent}] of Object.entries(shares)) {
      const total = this.state.peers.isClosed(from) ? 0 : (sent[holder] ?? 0);
      if (share.recordReceived(from, total)) {
        this.state.changedBudgets.add(budget);
      }
    }
  }

  /**
   * Handles charges that are in the ledger: drops the copies of other entries'
   * charges, ends the wait of requests for this entry's charges, and tells the
   * peers that keep copies of those to drop them.
   */
  private confirmSettlements(settlements: Settlement[]): void {
    const digestsByCopyHolder = new Map<string, string[]>();
    for (const {digest, holder} of settlements) {
      if (holder !== this.state.settings.holder) {
        this.state.copies.remove(holder, [digest]);
        continue;
      }
      this.state.reportSecured(digest, true);
      const copyHolder = this.state.chargeTracker.removeCopyHolder(digest);
      if (copyHolder !== undefined) {
        digestsByCopyHolder.set(copyHolder, [
          ...(digestsByCopyHolder.get(copyHolder) ?? []),
          digest,
        ]);
      }
    }
    for (const [to, digests] of digestsByCopyHolder) {
      this.state.effects.push({kind: WalletEffectKind.SendDrop, to, digests});
    }
  }
}
