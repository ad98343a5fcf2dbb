/** All ledger partitions of one wallet. */
import {Partition} from './partition.js';
import type {Ledger} from './ledger.js';
import type {Millis} from './clock.js';
import type {PartitionOwner} from './partition.js';
import type {WalletEffect} from './wallet_messages.js';

/** First wait after a failed call. */
const MIN_BACKOFF: Millis = 100;

/** Longest wait after failed calls. */
const MAX_BACKOFF: Millis = 2_000;

/** Assigns a budget to a ledger partition. */
export function partitionIndex(budget: string, partitionCount: number): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < budget.length; i++) {
    hash = Math.imul(hash ^ budget.charCodeAt(i), 0x01000193) >>> 0;
  }
  return hash % partitionCount;
}

/** All ledger partitions of one wallet, and the budgets used of each. */
export class PartitionTable {
  private readonly partitions: Partition[] = [];
  private readonly budgetsByPartition: Set<string>[] = [];
  /** Partitions that may have something to do. */
  private readonly active = new Set<number>();
  private readonly leftPartitions = new Set<number>();
  private consecutiveFailures = 0;
  private retryAt: Millis = 0;
  /** The one partition that is tried while the service fails. */
  private probedPartition: number | undefined;

  constructor(count: number, owner: PartitionOwner, minInterval: Millis) {
    for (let index = 0; index < count; index++) {
      this.partitions.push(new Partition(index, owner, minInterval));
      this.budgetsByPartition.push(new Set());
      this.scheduleWrite(index, 0);
    }
  }

  /** The partition of a number. */
  partitionAt(index: number): Partition {
    return this.partitions[index] as Partition;
  }

  /** The partition of a budget. */
  partitionOf(budget: string): Partition {
    return this.partitionAt(this.indexOf(budget));
  }

  /** The number of a budget's partition. */
  indexOf(budget: string): number {
    return partitionIndex(budget, this.partitions.length);
  }

  /** The last known ledger behind a budget; never change it. */
  ledgerOf(budget: string): Ledger | undefined {
    return this.partitionOf(budget).lastKnownLedger();
  }

  /** Notes that a budget is used. */
  registerBudget(budget: string): void {
    this.budgetsByPartition[this.indexOf(budget)]?.add(budget);
  }

  /** The used budgets of a partition. */
  budgetsOf(index: number): Iterable<string> {
    return this.budgetsByPartition[index] ?? [];
  }

  /** Asks for a write of a partition at `time` or earlier. */
  scheduleWrite(index: number, time: Millis): void {
    this.partitionAt(index).scheduleWrite(time);
    this.active.add(index);
  }

  /** Asks for a write of a budget's partition at `time` or earlier. */
  scheduleWriteOf(budget: string, time: Millis): void {
    this.scheduleWrite(this.indexOf(budget), time);
  }

  /** Starts what is due; one partition only while the service fails. */
  startDueCalls(now: Millis): WalletEffect[] {
    const effects: WalletEffect[] = [];
    for (const index of this.active) {
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
        this.active.delete(index);
      }
    }
    return effects;
  }

  /** Notes that a call of a partition was answered. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.probedPartition = undefined;
  }

  /** Notes a failed call; `lost` when it may have taken effect. */
  recordFailure(index: number, mayHaveApplied: boolean, now: Millis): void {
    this.partitionAt(index).handleCallFailed(mayHaveApplied);
    if (this.isFailing() && this.probedPartition !== index) {
      return;
    }
    const backoff = MIN_BACKOFF * 2 ** Math.min(this.consecutiveFailures, 10);
    this.consecutiveFailures += 1;
    this.retryAt = now + Math.min(MAX_BACKOFF, backoff);
    this.probedPartition = undefined;
  }

  private isBackingOff(now: Millis): boolean {
    const mustWait = this.probedPartition !== undefined || now < this.retryAt;
    return this.isFailing() && mustWait;
  }

  /** Notes that this holder has left a partition. */
  markLeft(index: number): void {
    this.leftPartitions.add(index);
  }

  /** Asks for a write of every partition not yet left; false when none is. */
  scheduleLeaving(now: Millis): boolean {
    for (let index = 0; index < this.partitions.length; index++) {
      if (!this.leftPartitions.has(index)) {
        this.scheduleWrite(index, now);
      }
    }
    return this.leftPartitions.size < this.partitions.length;
  }

  /** Whether every partition knows this holder. */
  isJoined(): boolean {
    return this.partitions.every(partition => partition.isJoined());
  }

  /** Whether the last call failed. */
  isFailing(): boolean {
    return this.consecutiveFailures > 0;
  }
}
