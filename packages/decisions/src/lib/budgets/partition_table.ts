/** The ledger partitions of one wallet, and when they are synchronized. */
import {textHash} from '../base/text_hash.js';
import {Partition} from './partition.js';
import {budgetOf} from './ledger.js';
import type {BudgetRecord, Ledger} from './ledger.js';
import type {Millis} from '../base/clock.js';
import type {PartitionOwner} from './partition.js';
import type {WalletEffect} from './wallet_messages.js';

/** Delay after the first failed call; it doubles with each failure. */
const INITIAL_BACKOFF: Millis = 100;

/** Maximum delay after a failed call. */
const MAX_BACKOFF: Millis = 2_000;

/**
 * Returns the index of the ledger partition that a budget belongs to, by the
 * hash of its name.
 */
export function partitionIndex(budget: string, partitionCount: number): number {
  return textHash(budget) % partitionCount;
}

/**
 * The ledger partitions of one wallet, and the budgets that it uses in each.
 * While the key-value service fails, one partition at a time is tried, with
 * exponential backoff.
 */
export class PartitionTable {
  private readonly partitions: Partition[] = [];
  private readonly budgetsByPartition: Set<string>[] = [];
  /** Partitions with a pending call or a scheduled write. */
  private readonly activePartitions = new Set<number>();
  private readonly leftPartitions = new Set<number>();
  private consecutiveFailures = 0;
  /** End of the backoff. */
  private retryAt: Millis = 0;
  /** The one partition that is tried while the service fails, if any. */
  private probedPartition: number | undefined;

  constructor(count: number, owner: PartitionOwner, minInterval: Millis) {
    for (let index = 0; index < count; index++) {
      this.partitions.push(new Partition(index, owner, minInterval));
      this.budgetsByPartition.push(new Set());
      this.scheduleWrite(index, 0);
    }
  }

  /** Returns the partition with an index. */
  partitionAt(index: number): Partition {
    return this.partitions[index] as Partition;
  }

  /** Returns the partition of a budget. */
  partitionOf(budget: string): Partition {
    return this.partitionAt(this.indexOf(budget));
  }

  /** Returns the index of a budget's partition. */
  indexOf(budget: string): number {
    return partitionIndex(budget, this.partitions.length);
  }

  /**
   * Returns the last known ledger of a budget's partition, or undefined before
   * the first read. Callers must not modify it.
   */
  ledgerOf(budget: string): Ledger | undefined {
    return this.partitionOf(budget).lastKnownLedger();
  }

  /** Returns the last known record of a budget; undefined if there is none. */
  budgetRecordOf(budget: string): BudgetRecord | undefined {
    const ledger = this.ledgerOf(budget);
    return ledger && budgetOf(ledger, budget);
  }

  /** Registers a budget as used by this wallet. */
  registerBudget(budget: string): void {
    this.budgetsByPartition[this.indexOf(budget)]?.add(budget);
  }

  /** Returns the budgets of a partition that this wallet uses. */
  budgetsOf(index: number): Iterable<string> {
    return this.budgetsByPartition[index] ?? [];
  }

  /**
   * Schedules a write of a partition for `time`; an earlier scheduled time
   * stays.
   */
  scheduleWrite(index: number, time: Millis): void {
    this.partitionAt(index).scheduleWrite(time);
    this.activePartitions.add(index);
  }

  /** Schedules a write of a budget's partition, like `scheduleWrite`. */
  scheduleWriteOf(budget: string, time: Millis): void {
    this.scheduleWrite(this.indexOf(budget), time);
  }

  /**
   * Returns the calls that are due; those of one partition only while the
   * service fails.
   */
  startDueCalls(now: Millis): WalletEffect[] {
    const effects: WalletEffect[] = [];
    for (const index of this.activePartitions) {
      if (this.isBackingOff(now)) {
        break;
      }
      const partition = this.partitionAt(index);
      const partitionEffects = partition.startDueCall(now);
      effects.push(...partitionEffects);
      if (this.isFailing() && partitionEffects.length > 0) {
        this.probedPartition = index;
      }
      if (partition.isIdle()) {
        this.activePartitions.delete(index);
      }
    }
    return effects;
  }

  /** Records an answer of the key-value service and ends the backoff. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.probedPartition = undefined;
  }

  /**
   * Records a failed call and sets the time of the next attempt. While the
   * service fails, only a failure of the partition that is tried counts, not
   * those of calls that began earlier.
   * @param mayHaveApplied whether the call may have taken effect.
   */
  recordFailure(index: number, mayHaveApplied: boolean, now: Millis): void {
    this.partitionAt(index).handleCallFailed(mayHaveApplied);
    if (this.isFailing() && this.probedPartition !== index) {
      return;
    }
    const backoff =
      INITIAL_BACKOFF * 2 ** Math.min(this.consecutiveFailures, 10);
    this.consecutiveFailures += 1;
    this.retryAt = now + Math.min(MAX_BACKOFF, backoff);
    this.probedPartition = undefined;
  }

  private isBackingOff(now: Millis): boolean {
    const mustWait = this.probedPartition !== undefined || now < this.retryAt;
    return this.isFailing() && mustWait;
  }

  /** Records that this holder has left a partition. */
  markLeft(index: number): void {
    this.leftPartitions.add(index);
  }

  /**
   * Schedules a write of every partition that this holder has not left yet.
   * @return whether there are such partitions.
   */
  scheduleLeaving(now: Millis): boolean {
    for (let index = 0; index < this.partitions.length; index++) {
      if (!this.leftPartitions.has(index)) {
        this.scheduleWrite(index, now);
      }
    }
    return this.leftPartitions.size < this.partitions.length;
  }

  /** Whether this holder takes part in every partition. */
  isJoined(): boolean {
    return this.partitions.every(partition => partition.isJoined());
  }

  /** Whether calls to the key-value service fail. */
  isFailing(): boolean {
    return this.consecutiveFailures > 0;
  }
}
